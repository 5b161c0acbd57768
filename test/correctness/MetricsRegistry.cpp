#include "MetricsRegistry.h"

#include "MetricsWriter.h"
#include "RequestObserver.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const ServiceName kLookup("lookup");

bool HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

std::string TextOf(const MetricsRegistry& aMetrics)
{
  MetricsWriter writer;
  aMetrics.WriteTo(writer);
  return writer.Text();
}

} // namespace

// Guards against latencies outside the bounds that are lost or counted in the
// wrong bucket, and against buckets that are not cumulative.
TEST_CASE("histogram buckets are cumulative and cover all latencies")
{
  MetricsRegistry metrics;
  for (const Duration it : { Duration(50us), Duration(700us), Duration(45s) }) {
    metrics.OnRequest(kLookup, ResultCode::Ok, it);
  }
  metrics.OnRequest(kLookup, ResultCode::RateExceeded, 1us);
  const std::string text = TextOf(metrics);
  const std::string bucket =
    "pollenway_request_seconds_bucket{service=\"lookup\",le=";
  CHECK(HasLine(text, bucket + "\"0.0001\"} 1"));
  CHECK(HasLine(text, bucket + "\"0.0005\"} 1"));
  CHECK(HasLine(text, bucket + "\"0.001\"} 2"));
  CHECK(HasLine(text, bucket + "\"30\"} 2"));
  CHECK(HasLine(text, bucket + "\"+Inf\"} 3"));
  CHECK(HasLine(text, "pollenway_request_seconds_count{service=\"lookup\"} 3"));
}

// Guards against requests that are counted under the wrong service or code.
TEST_CASE("ended requests are counted by service and code")
{
  RequestObserver observer;
  const TimePoint start(1h);
  for (const auto code :
       { ResultCode::Ok, ResultCode::Ok, ResultCode::RateExceeded }) {
    auto record = RequestObserver::Start(start);
    record.mService = kLookup;
    record.mCode = code;
    observer.End(std::move(record), start + 3ms);
  }
  auto refused = RequestObserver::Start(start);
  refused.mCode = ResultCode::UnknownKey;
  observer.End(std::move(refused), start + 1ms);

  const auto& metrics = observer.Metrics();
  CHECK(metrics.Requests(kLookup, ResultCode::Ok) == 2);
  CHECK(metrics.Requests(kLookup, ResultCode::RateExceeded) == 1);
  CHECK(metrics.Requests(ServiceName(), ResultCode::UnknownKey) == 1);
  CHECK(metrics.Refusals(ResultCode::RateExceeded) == 1);
  CHECK(metrics.Refusals(ResultCode::Ok) == 0);
  CHECK(HasLine(TextOf(metrics),
                "pollenway_requests_total{service=\"lookup\",code=\"204\","
                "name=\"RateExceeded\"} 1"));
  CHECK(observer.Decisions().Size() == 4);
}

// Guards against label values that break the lines of the text exposition.
TEST_CASE("label values are escaped")
{
  MetricsWriter writer;
  writer.Begin("m", "gauge", "help");
  writer.Sample({ { "l", "a\"b\\c\nd" } }, uint64_t(1));
  CHECK(HasLine(writer.Text(), "m{l=\"a\\\"b\\\\c\\nd\"} 1"));
}
