#pragma once

#include "LogRateLimit.h"
#include "MetricsRegistry.h"
#include "ResultCode.h"
#include "RetryPolicy.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

struct ForwardedRequest;
class TargetState;

/// Logs and counts what becomes of callers' requests. The number of lines in a
/// second is bounded; the counters are complete.
class RequestLog
{
public:
  /// How one attempt at a target ended.
  struct Attempt
  {
    /// Empty if the target answered.
    std::optional<AttemptFailure> mFailure;
    /// Something of the request may have reached the target.
    bool mBytesSent = false;
    /// Requests at the target when it was chosen, as estimated.
    double mLoadWhenSent = 0;
    Duration mLatency{};
    std::string_view mDetail;
  };

  RequestLog();

  void OnAttempt(const ForwardedRequest& aRequest,
                 const TargetState& aTarget,
                 const Attempt& aAttempt,
                 TimePoint aNow);
  /// The request has its final answer, or its caller has left. `aInputs` has
  /// what decided a refusal, if there is more than the detail.
  void OnEnd(const ForwardedRequest& aRequest,
             ResultCode aCode,
             std::string_view aDetail,
             std::string_view aInputs,
             TimePoint aNow);
  /// Logs how many lines were left out since the last call.
  void LogSuppressed();

  const MetricsRegistry& Metrics() const { return mMetrics; }
  /// Attempts at targets by result.
  const std::map<std::string, uint64_t>& Attempts() const { return mAttempts; }

private:
  MetricsRegistry mMetrics;
  std::map<std::string, uint64_t> mAttempts;
  LogRateLimit mLogRateLimit;
};

} // namespace pollenway
