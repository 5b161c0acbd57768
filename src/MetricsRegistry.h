#pragma once

#include "Ids.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <memory>

namespace pollenway {

class MetricsWriter;

/// Counters of callers' requests by service and result code, and latency
/// histograms by service. Requests without a service (no route matched, or the
/// key was refused) are counted under the empty service name.
class MetricsRegistry
{
public:
  MetricsRegistry();
  ~MetricsRegistry();

  /// Records a request that ended after `aLatency`. Only answered requests
  /// (`Ok`) are added to the histogram, because fast refusals would hide slow
  /// answers.
  void OnRequest(const ServiceName& aService,
                 ResultCode aCode,
                 Duration aLatency);

  uint64_t Requests(const ServiceName& aService, ResultCode aCode) const;
  /// Returns the count over all services; 0 for `Ok`.
  uint64_t Refusals(ResultCode aCode) const;

  void WriteTo(MetricsWriter& aWriter) const;

private:
  struct Latency;
  struct ServiceMetrics
  {
    std::map<ResultCode, uint64_t> mRequests;
    std::unique_ptr<Latency> mLatency;
  };

  std::map<ServiceName, ServiceMetrics> mServices;
  std::map<ResultCode, uint64_t> mRefusals;
};

} // namespace pollenway
