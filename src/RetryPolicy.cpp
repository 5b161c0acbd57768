#include "RetryPolicy.h"

#include "Assert.h"

namespace pollenway {

namespace {

ResultCode RefusalOf(AttemptFailure aFailure, bool aMayHaveRun)
{
  switch (aFailure) {
    case AttemptFailure::Timeout:
      return aMayHaveRun ? ResultCode::BackendTimeout
                         : ResultCode::DeadlineBeforeStart;
    case AttemptFailure::AnswerCut:
      return ResultCode::AnswerIncomplete;
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::TargetClosed:
    case AttemptFailure::ConnectionLost:
      return aMayHaveRun ? ResultCode::BackendConnectionLost
                         : ResultCode::NoTarget;
    case AttemptFailure::Shed:
      break;
  }
  return aMayHaveRun ? ResultCode::BackendConnectionLost
                     : ResultCode::NoHeadroom;
}

} // namespace

RetryPolicy::RetryPolicy(Options aOptions)
  : mOptions(aOptions)
{
}

RetryPolicy::RetryPolicy()
  : RetryPolicy(Options{})
{
}

RetryDecision RetryPolicy::Decide(const AttemptReport& aReport,
                                  RetryBudget& aBudget,
                                  TimePoint aNow) const
{
  const bool answered =
    aReport.mFailure == AttemptFailure::AnswerCut || aReport.mAnswerStarted;
  const bool startedNow =
    answered ||
    (aReport.mFailure != AttemptFailure::Shed && aReport.mBytesSent);
  RetryDecision out;
  out.mMayHaveRun = startedNow || aReport.mEarlierMayHaveRun;

  const bool allowed =
    !out.mMayHaveRun || aReport.mExecution == RouteExecution::Idempotent;
  const Duration timeLeft = aReport.mDeadline - aNow;
  if (allowed && !aReport.mAnswerStarted && aReport.mCanSendAgain &&
      aReport.mAttempts < mOptions.mMaxAttempts &&
      timeLeft >= mOptions.mMinTimeLeft && aBudget.TryRetry()) {
    out.mRetry = true;
    return out;
  }

  const bool isExpired = timeLeft <= Duration::zero();
  if (isExpired && !answered) {
    out.mCode = RefusalOf(AttemptFailure::Timeout, out.mMayHaveRun);
  } else {
    out.mCode = RefusalOf(aReport.mFailure, out.mMayHaveRun);
  }
  const bool provablyNotRun =
    !aReport.mEarlierMayHaveRun && !aReport.mAnswerStarted &&
    (aReport.mFailure == AttemptFailure::Shed || !aReport.mBytesSent);
  POLLENWAY_ASSERT(OutcomeOf(out.mCode) != Outcome::NotRun || provablyNotRun,
                   "a request that may have run is refused as not run");
  return out;
}

} // namespace pollenway
