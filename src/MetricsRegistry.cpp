#include "MetricsRegistry.h"

#include "MetricsWriter.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <tuple>

namespace pollenway {

namespace {

namespace bh = boost::histogram;

/// Upper bounds of the histogram buckets in seconds, from below the latency
/// objective of 0.3 ms to the maximum timeouts of services.
constexpr double kBounds[] = {
  0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
  0.1,    0.25,    0.5,    1,     2.5,    5,     10,   30,
};

using Bins = bh::histogram<std::tuple<bh::axis::variable<>>>;

std::string CodeText(ResultCode aCode)
{
  return std::string(Name(aCode));
}

} // namespace

struct MetricsRegistry::Latency
{
  Bins mBins = bh::make_histogram(bh::axis::variable<>(kBounds));
  double mSum = 0;
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::OnRequest(const ServiceName& aService,
                                ResultCode aCode,
                                Duration aLatency)
{
  auto& service = mServices[aService];
  ++service.mRequests[aCode];
  if (aCode != ResultCode::Ok) {
    ++mRefusals[aCode];
    return;
  }
  if (!service.mLatency) {
    service.mLatency = std::make_unique<Latency>();
  }
  service.mLatency->mBins(ToSeconds(aLatency));
  service.mLatency->mSum += ToSeconds(aLatency);
}

uint64_t MetricsRegistry::Requests(const ServiceName& aService,
                                   ResultCode aCode) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return 0;
  }
  const auto it = service->second.mRequests.find(aCode);
  return it == service->second.mRequests.end() ? 0 : it->second;
}

uint64_t MetricsRegistry::Refusals(ResultCode aCode) const
{
  const auto it = mRefusals.find(aCode);
  return it == mRefusals.end() ? 0 : it->second;
}

void MetricsRegistry::WriteTo(MetricsWriter& aWriter) const
{
  aWriter.Begin("pollenway_requests_total",
                "counter",
                "Callers' requests by service and result code.");
  for (const auto& [service, metrics] : mServices) {
    for (const auto& [code, count] : metrics.mRequests) {
      aWriter.Sample({ { "service", service.Text() },
                       { "code", std::to_string(int(code)) },
                       { "name", CodeText(code) } },
                     count);
    }
  }
  aWriter.Begin("pollenway_refusals_total",
                "counter",
                "Requests that were not answered, by result code.");
  for (const auto& [code, count] : mRefusals) {
    aWriter.Sample({ { "code", std::to_string(int(code)) },
                     { "name", CodeText(code) },
                     { "outcome", std::string(Name(OutcomeOf(code))) } },
                   count);
  }
  aWriter.Begin("pollenway_request_seconds",
                "histogram",
                "Time from a request's header to the end of its answer.");
  for (const auto& [service, metrics] : mServices) {
    if (!metrics.mLatency) {
      continue;
    }
    const auto& bins = metrics.mLatency->mBins;
    uint64_t total = 0;
    // Bin -1 is the underflow bin, below the first bound.
    for (int n = -1; n < int(std::size(kBounds)) - 1; ++n) {
      total += uint64_t(bins.at(n));
      aWriter.Sample(
        { { "service", service.Text() }, { "le", NumberText(kBounds[n + 1]) } },
        total,
        "_bucket");
    }
    total += uint64_t(bins.at(int(std::size(kBounds)) - 1));
    const MetricsWriter::Labels label = { { "service", service.Text() } };
    aWriter.Sample(
      { { "service", service.Text() }, { "le", "+Inf" } }, total, "_bucket");
    aWriter.Sample(label, metrics.mLatency->mSum, "_sum");
    aWriter.Sample(label, total, "_count");
  }
}

} // namespace pollenway
