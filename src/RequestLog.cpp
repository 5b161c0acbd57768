#include "RequestLog.h"

#include "ForwardedRequest.h"
#include "Logger.h"
#include "RequestObserver.h"
#include "TargetExchange.h"
#include "TargetState.h"

namespace pollenway {

namespace {

/// Returns the whole milliseconds of one of the write's times; empty if the
/// request was not written.
std::string WriteMs(const ForwardedRequest& aRequest,
                    Duration ForwardedRequest::Write::*aTime)
{
  return aRequest.mWrite ? std::to_string(int64_t(
                             ToSeconds((*aRequest.mWrite).*aTime) * 1000))
                         : std::string();
}

/// An instance serves about a hundred requests per second at peak load.
constexpr unsigned kMaxLinesPerSecond = 400;

} // namespace

RequestLog::RequestLog()
  : mLogRateLimit(kMaxLinesPerSecond)
{
}

void RequestLog::OnSelected(const ForwardedRequest& aRequest)
{
  mSelections.Add(aRequest.mTargetRegion, aRequest.mSelectionReason);
}

void RequestLog::OnAttempt(const ForwardedRequest& aRequest,
                           const TargetState& aTarget,
                           const Attempt& aAttempt,
                           TimePoint aNow)
{
  const std::string result(aAttempt.mFailure ? Name(*aAttempt.mFailure)
                                             : "answered");
  ++mAttempts[result];
  if (!aAttempt.mFailure || !mLogRateLimit.Allow(aNow)) {
    return;
  }
  Log(LogLevel::Info,
      "attempt_failed",
      { { "id", aRequest.mId },
        { "target", aTarget.Record().mName.Text() },
        { "result", result },
        { "sent", int(aAttempt.mBytesSent) },
        { "load", int64_t(aAttempt.mLoadWhenSent) },
        { "slots", aTarget.Record().mSlots },
        { "failures", aTarget.ConsecutiveFailures() },
        { "ms", int64_t(ToSeconds(aAttempt.mLatency) * 1000) },
        { "detail", aAttempt.mDetail } });
}

void RequestLog::OnRelayed(const ForwardedRequest& aRequest,
                           const IpEndpoint& aPeer,
                           const TargetAnswer& aAnswer,
                           Duration aLatency,
                           TimePoint aNow)
{
  if (!mLogRateLimit.Allow(aNow)) {
    return;
  }
  Log(LogLevel::Info,
      "attempt_relayed",
      { { "id", aRequest.mId },
        { "peer", aPeer.mAddress },
        { "reason", "no_direct_path" },
        { "result", aAnswer.mFailure ? Name(*aAnswer.mFailure) : "answered" },
        { "sent", int(aAnswer.mBytesSent) },
        { "ms", int64_t(ToSeconds(aLatency) * 1000) },
        { "detail", aAnswer.mDetail } });
}

void RequestLog::OnEnd(const ForwardedRequest& aRequest,
                       ResultCode aCode,
                       std::string_view aDetail,
                       std::string_view aInputs,
                       TimePoint aNow)
{
  const Duration latency = aNow - aRequest.mReceivedAt;
  if (aRequest.mIsRelayed) {
    ++mServedForPeers[std::string(Name(aCode))];
  } else {
    mMetrics.OnRequest(aRequest.mService, aCode, latency);
  }
  if (!mLogRateLimit.Allow(aNow)) {
    return;
  }
  const std::string writeAge =
    WriteMs(aRequest, &ForwardedRequest::Write::mAge);
  const std::string writeLag =
    WriteMs(aRequest, &ForwardedRequest::Write::mLoopLag);
  Log(LogLevel::Info,
      aRequest.mIsRelayed ? "request_for_peer" : "request",
      { { "id", aRequest.mId },
        { "route", aRequest.mRule ? aRequest.mRule->mName : std::string() },
        { "workspace",
          aRequest.mWorkspace ? aRequest.mWorkspace->mName.Text()
                              : std::string() },
        { "service", aRequest.mService.Text() },
        { "object", aRequest.mObject },
        { "target",
          aRequest.mTried.empty() ? std::string()
                                  : aRequest.mTried.back().Text() },
        { "region", aRequest.mTargetRegion.Text() },
        { "selected", Name(aRequest.mSelectionReason) },
        { "attempts", aRequest.mTried.size() },
        { "table", aRequest.mTable ? aRequest.mTable->Version() : 0 },
        { "ms", int64_t(ToSeconds(latency) * 1000) },
        { "write_age_ms", writeAge },
        { "write_lag_ms", writeLag },
        { "code", Name(aCode) },
        { "detail", aDetail },
        { "inputs", aInputs } });
}

void RequestLog::OnCut(const ForwardedRequest& aRequest, TimePoint aNow)
{
  Log(LogLevel::Warn,
      "request_cut",
      { { "id", aRequest.mId },
        { "route", aRequest.mRule ? aRequest.mRule->mName : std::string() },
        { "stage", Name(aRequest.mStage) },
        { "target",
          aRequest.mTried.empty() ? std::string()
                                  : aRequest.mTried.back().Text() },
        { "attempts", aRequest.mTried.size() },
        { "earlier_may_have_run", int(aRequest.mMayHaveRun) },
        { "age_ms", int64_t(ToSeconds(aNow - aRequest.mReceivedAt) * 1000) },
        { "left_ms", int64_t(ToSeconds(aRequest.mDeadline - aNow) * 1000) } });
}

void RequestLog::LogSuppressed()
{
  const uint64_t n = mLogRateLimit.TakeSuppressed();
  if (n > 0) {
    Log(LogLevel::Warn, "request_lines_left_out", { { "count", n } });
  }
}

} // namespace pollenway
