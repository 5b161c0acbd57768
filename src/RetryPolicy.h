#pragma once

#include "ResultCode.h"
#include "RetryBudget.h"
#include "Route.h"
#include "Time.h"

namespace pollenway {

/// How an attempt at a backend server failed.
enum class AttemptFailure
{
  ConnectFailed,  ///< Refused or timed out; no connection, so no byte sent.
  Shed,           ///< The backend server answered that it did not start.
  ConnectionLost, ///< Closed or reset before any byte of the answer came.
  AnswerCut,      ///< The answer started and did not end.
  Timeout,        ///< No answer before the deadline.
};

/// What is known when an attempt has failed.
struct AttemptReport
{
  RouteExecution mExecution = RouteExecution::AtMostOnce;
  AttemptFailure mFailure = AttemptFailure::ConnectionLost;
  /// Whether any byte of the request was sent to the backend server in this
  /// attempt. The caller of the policy must say yes if it does not know.
  bool mBytesSent = true;
  /// Whether an earlier attempt of the same request may have run.
  bool mEarlierMayHaveRun = false;
  /// Whether any byte of an answer has been passed to the caller.
  bool mAnswerStarted = false;
  /// Whether the whole request can be sent again. False if part of its body
  /// was passed on without being kept.
  bool mCanSendAgain = true;
  /// Attempts so far, this one included.
  unsigned mAttempts = 1;
  TimePoint mDeadline{};
};

/// What to do after a failed attempt.
struct RetryDecision
{
  /// Try again on another target.
  bool mRetry = false;
  /// If not: the refusal. Its outcome is true for the request as a whole.
  ResultCode mCode = ResultCode::InternalError;
  /// Whether the request may have run, to pass as `mEarlierMayHaveRun`.
  bool mMayHaveRun = true;
};

/// Decides whether a failed attempt is repeated. Only idempotent requests and
/// those that provably did not start are, on another target, within the
/// deadline and the budget.
class RetryPolicy
{
public:
  struct Options
  {
    unsigned mMaxAttempts = 3;
    /// Deadline left below which a further attempt is of no use.
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
