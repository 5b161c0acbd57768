#pragma once

#include "HomeDirectory.h"
#include "HomeMessage.h"
#include "IdempotencyOptions.h"

#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// The receiving instance's side of one request with an idempotency key: asks
/// the home for permission, starts at most once within the run window, and
/// reports the end until the home has acknowledged it.
class ProtectedRequest
{
public:
  /// What to do next.
  enum class Step
  {
    Wait,
    Run,    ///< Call `TryStart` right before the first byte is sent.
    Answer, ///< Pass on the stored answer.
    Refuse, ///< Refuse with `Refusal`.
    Done,   ///< Nothing; also for late and repeated replies.
  };

  /// `aAttempt` is unique for each request that the instance receives.
  ProtectedRequest(RecordKey aKey,
                   uint64_t aFingerprint,
                   AttemptId aAttempt,
                   IdempotencyOptions aOptions = {});

  /// The message to the home, first or repeated; nothing if no home is known
  /// or the request no longer waits. To be sent about every `mResendInterval`.
  std::optional<HomeAction> BeginMessage(const HomeDirectory& aDirectory,
                                         TimePoint aNow);

  Step OnReply(const RecordBeginReply& aReply, TimePoint aNow);

  /// True once, if the request may be sent to a backend server now. False if
  /// the run window has passed: it is then refused and will never run.
  bool TryStart(TimePoint aNow);

  /// The caller's deadline has passed or the caller has left. Refuses the
  /// request unless it has started.
  Step GiveUp();

  /// The run ended. `NotRun` only if it provably did not start.
  void End(AttemptOutcome aOutcome, std::string aAnswer = {});

  /// The report to the home until it is acknowledged; nothing if none is due.
  /// After the retention time repeating it is of no use.
  std::optional<HomeAction> EndMessage(const HomeDirectory& aDirectory) const;
  void OnEndReply() { mIsEndAcknowledged = true; }

  ResultCode Refusal() const { return mRefusal; }
  const std::string& Answer() const { return mAnswer; }
  bool HasStarted() const
  {
    return mState == State::Started || mState == State::Ended;
  }
  /// Whether the object can be dropped.
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
    Refused, ///< Never started and never will.
    Started,
    Ended,
  };

  Step RefuseWith(ResultCode aCode, bool aReportToHome);

  RecordKey mKey;
  uint64_t mFingerprint;
  AttemptId mAttempt;
  IdempotencyOptions mOptions;
  State mState = State::AwaitingPermission;
  std::optional<TimePoint> mFirstAskedAt;
  ResultCode mRefusal = ResultCode::HomeUnavailable;
  std::string mAnswer;
  AttemptOutcome mAttemptOutcome = AttemptOutcome::Unknown;
  bool mIsEndAcknowledged = false;
};

/// "wait", "run", "answer", "refuse" or "done", for `explain`.
std::string_view Name(ProtectedRequest::Step aStep);

} // namespace pollenway
