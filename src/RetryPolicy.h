#pragma once

#include "ResultCode.h"
#include "RetryBudget.h"
#include "Route.h"
#include "Time.h"

namespace pollenway {

/// Kind of failure of an attempt at a backend server.
enum class AttemptFailure
{
  ConnectFailed,  ///< Refused or timed out, so no byte was sent.
  TargetClosed,   ///< The backend server takes no requests, so no byte was
                  ///< sent.
  Shed,           ///< The backend server answered that it did not start.
  ConnectionLost, ///< Closed or reset before any byte of the answer.
  AnswerCut,      ///< The answer started but did not end.
  Timeout,        ///< No answer before the deadline.
};

/// State of a request after a failed attempt.
struct AttemptReport
{
  RouteExecution mExecution = RouteExecution::AtMostOnce;
  AttemptFailure mFailure = AttemptFailure::ConnectionLost;
  /// True if any byte of the request was sent to the backend server in this
  /// attempt, or if this is unknown.
  bool mBytesSent = true;
  /// True if an earlier attempt of the same request may have run.
  bool mEarlierMayHaveRun = false;
  /// True if any byte of an answer has been passed to the caller.
  bool mAnswerStarted = false;
  /// True if the whole request can be sent again; false if part of its body was
  /// forwarded without being buffered.
  bool mCanSendAgain = true;
  /// Number of attempts so far, including this one.
  unsigned mAttempts = 1;
  TimePoint mDeadline{};
};

/// Decision after a failed attempt.
struct RetryDecision
{
  /// True to retry on another target.
  bool mRetry = false;
  /// Code of the refusal if there is no retry. Its outcome holds for the
  /// request as a whole.
  ResultCode mCode = ResultCode::InternalError;
  /// True if the request may have run; passed to the next decision as
  /// `mEarlierMayHaveRun`.
  bool mMayHaveRun = true;
};

/// Decides whether a failed attempt is retried on another target. Only
/// idempotent requests and those that provably did not start are retried,
/// within the deadline and the retry budget.
class RetryPolicy
{
public:
  struct Options
  {
    unsigned mMaxAttempts = 3;
    /// Minimum time left until the deadline for a further attempt to be useful.
    Duration mMinTimeLeft = std::chrono::milliseconds(5);
  };

  explicit RetryPolicy(Options aOptions);
  RetryPolicy();

  RetryDecision Decide(const AttemptReport& aReport,
                       RetryBudget& aBudget,
                       TimePoint aNow) const;

private:
  Options mOptions;
};

} // namespace pollenway
