#pragma once

#include "HomeDirectory.h"
#include "HomeMessage.h"
#include "IdempotencyOptions.h"

#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// One request with an idempotency key, at the instance that received it.
/// Requests permission from the home, starts at most once within the start
/// window, and reports the outcome until the home has acknowledged it.
class ProtectedRequest
{
public:
  /// What to do next.
  enum class Step
  {
    Wait,
    Run,    ///< Call `TryStart` right before the first byte is sent.
    Answer, ///< Return the stored answer to the caller.
    Refuse, ///< Refuse the request with `Refusal`.
    Done,   ///< Do nothing; also for late and repeated replies.
  };

  /// `aAttempt` is unique for each request that the instance receives.
  ProtectedRequest(RecordKey aKey,
                   uint64_t aFingerprint,
                   AttemptId aAttempt,
                   IdempotencyOptions aOptions = {});

  /// Returns the message that requests permission from the home; nothing if no
  /// home is known or the request no longer awaits permission. The message is
  /// resent about every `mResendInterval`.
  std::optional<HomeAction> BeginMessage(const HomeDirectory& aDirectory,
                                         TimePoint aNow);

  Step OnReply(const RecordBeginReply& aReply, TimePoint aNow);

  /// Returns true at most once, if the request may be sent to a backend server
  /// now. Returns false if the start window has passed; the request is then
  /// refused and never runs.
  bool TryStart(TimePoint aNow);

  /// Called when the caller's deadline has passed or the caller has
  /// disconnected. Refuses the request unless it has started.
  Step GiveUp();

  /// Called when the attempt has ended. `aOutcome` is `NotRun` only if it
  /// provably did not start.
  void End(AttemptOutcome aOutcome, std::string aAnswer = {});

  /// Returns the message that reports the outcome to the home; nothing if there
  /// is no outcome to report, the home has acknowledged it or no home is known.
  /// Resending it after the retention time has no effect.
  std::optional<HomeAction> EndMessage(const HomeDirectory& aDirectory) const;
  void OnEndReply() { mIsEndAcknowledged = true; }

  ResultCode Refusal() const { return mRefusal; }
  const std::string& Answer() const { return mAnswer; }
  bool HasStarted() const
  {
    return mState == State::Started || mState == State::Ended;
  }
  /// Returns true if the object is no longer needed.
  bool IsDone() const
  {
    return (mState == State::Refused || mState == State::Ended) &&
           mIsEndAcknowledged;
  }

private:
  enum class State
  {
    AwaitingPermission,
    Permitted,
    Refused, ///< Was not started and never will be.
    Started,
    Ended,
  };

  Step RefuseWith(ResultCode aCode, bool aReportToHome);

  RecordKey mKey;
  uint64_t mFingerprint;
  AttemptId mAttempt;
  IdempotencyOptions mOptions;
  State mState = State::AwaitingPermission;
  std::optional<TimePoint> mFirstRequestedAt;
  ResultCode mRefusal = ResultCode::HomeUnavailable;
  std::string mAnswer;
  AttemptOutcome mAttemptOutcome = AttemptOutcome::Unknown;
  bool mIsEndAcknowledged = false;
};

/// Returns "wait", "run", "answer", "refuse" or "done", for `explain`.
std::string_view Name(ProtectedRequest::Step aStep);

} // namespace pollenway
