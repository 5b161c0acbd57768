#pragma once

#include "Ids.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <memory>

namespace pollenway {

class MetricsWriter;

/// Counts of callers' requests by service and result code, and latency
/// histograms by service. Requests without a service (no route, or a key that
/// was not accepted) are counted under the empty service name.
class MetricsRegistry
{
public:
  MetricsRegistry();
  ~MetricsRegistry();

  /// A request has ended after `aLatency`. Only answered requests (`Ok`) enter
  /// the histogram: quick refusals would hide slow answers.
  void OnRequest(const ServiceName& aService,
                 ResultCode aCode,
                 Duration aLatency);

  uint64_t Requests(const ServiceName& aService, ResultCode aCode) const;
  /// Over all services; 0 for `Ok`.
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
