#pragma once

#include "LogRateLimit.h"
#include "MetricsRegistry.h"
#include "ResultCode.h"
#include "RetryPolicy.h"
#include "SelectionCounts.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

struct ForwardedRequest;
struct IpEndpoint;
struct TargetAnswer;
class TargetState;

/// Logs and counts attempts and results of callers' requests. The number of log
/// lines per second is limited; the counters include every request.
class RequestLog
{
public:
  /// Result of one attempt at a target.
  struct Attempt
  {
    /// Empty if the target answered.
    std::optional<AttemptFailure> mFailure;
    /// Part of the request may have reached the target.
    bool mBytesSent = false;
    /// Estimated requests in flight at the target when it was selected.
    double mLoadWhenSent = 0;
    Duration mLatency{};
    std::string_view mDetail;
  };

  RequestLog();

  /// Called when a target was selected for an attempt.
  void OnSelected(const ForwardedRequest& aRequest);
  void OnAttempt(const ForwardedRequest& aRequest,
                 const TargetState& aTarget,
                 const Attempt& aAttempt,
                 TimePoint aNow);
  /// Called when an attempt through another instance has ended.
  void OnRelayed(const ForwardedRequest& aRequest,
                 const IpEndpoint& aPeer,
                 const TargetAnswer& aAnswer,
                 Duration aLatency,
                 TimePoint aNow);
  /// Called when the request has its final answer or its caller disconnected.
  /// `aInputs` describes the values that a refusal is based on, if they are not
  /// in `aDetail`.
  void OnEnd(const ForwardedRequest& aRequest,
             ResultCode aCode,
             std::string_view aDetail,
             std::string_view aInputs,
             TimePoint aNow);
  /// Called for each request that the end of the process leaves without an
  /// answer. These lines are never left out.
  void OnCut(const ForwardedRequest& aRequest, TimePoint aNow);
  /// Logs the number of lines suppressed since the last call.
  void LogSuppressed();

  /// Number of requests served for other instances by result.
  const std::map<std::string, uint64_t>& ServedForPeers() const
  {
    return mServedForPeers;
  }
  const MetricsRegistry& Metrics() const { return mMetrics; }
  const SelectionCounts& Selections() const { return mSelections; }
  /// Number of attempts at targets by result.
  const std::map<std::string, uint64_t>& Attempts() const { return mAttempts; }

private:
  MetricsRegistry mMetrics;
  SelectionCounts mSelections;
  std::map<std::string, uint64_t> mAttempts;
  std::map<std::string, uint64_t> mServedForPeers;
  LogRateLimit mLogRateLimit;
};

} // namespace pollenway
