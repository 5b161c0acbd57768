#include "EventLoopLag.h"

#include "MetricsWriter.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

TimePoint At(Duration aTime)
{
  return TimePoint{} + 100s + aTime;
}

} // namespace

// Guards against a blocked loop that looks punctual until its timer runs, and
// against a lag that is still shown after the loop has caught up.
TEST_CASE("the current lag includes the timer that is overdue")
{
  EventLoopLag lag;
  CHECK(lag.Current(At(0ms)) == 0ms);
  lag.OnSet(At(50ms));
  CHECK(lag.Current(At(20ms)) == 0ms);
  CHECK(lag.Current(At(350ms)) == 300ms);
  lag.OnRun(At(350ms));
  CHECK(lag.Current(At(360ms)) == 300ms);
  lag.OnSet(At(400ms));
  CHECK(lag.Current(At(390ms)) == 300ms);
  lag.OnRun(At(402ms));
  CHECK(lag.Current(At(403ms)) == 2ms);
  CHECK(lag.Max() == 300ms);
}

// Guards against a log line for each late timer, and against the worst lag
// being left out because it lies between two lines.
TEST_CASE("at most one lag a second is reported, the greatest since the last")
{
  struct Row
  {
    Duration mRunAt;
    Duration mLag;
    Duration mReported;
  };
  const Row rows[] = {
    { 100ms, 99ms, 0ms },  { 200ms, 100ms, 100ms },  { 600ms, 400ms, 0ms },
    { 900ms, 150ms, 0ms }, { 1199ms, 1ms, 0ms },     { 1200ms, 1ms, 400ms },
    { 2300ms, 1ms, 0ms },  { 2400ms, 101ms, 101ms },
  };
  EventLoopLag lag;
  for (const auto& row : rows) {
    CAPTURE(ToSeconds(row.mRunAt));
    lag.OnSet(At(row.mRunAt - row.mLag));
    CHECK(lag.OnRun(At(row.mRunAt)).value_or(0ms) == row.mReported);
  }
}

// Guards against lags that are missing in the histogram, also beyond its last
// bound, and against a timer that runs early.
TEST_CASE("the histogram of lags is cumulative and complete")
{
  EventLoopLag lag;
  for (const Duration it : { Duration(-1ms),
                             Duration(1ms),
                             Duration(30ms),
                             Duration(40ms),
                             Duration(60s) }) {
    lag.OnSet(At(0ms));
    lag.OnRun(At(it));
  }
  // A handler that was not preceded by a timer measures nothing.
  lag.OnRun(At(1s));
  MetricsWriter writer;
  lag.WriteTo(writer);
  struct Row
  {
    const char* mSample;
    const char* mValue;
  };
  const Row rows[] = {
    { "_bucket{le=\"0.001\"}", "2" }, { "_bucket{le=\"0.025\"}", "2" },
    { "_bucket{le=\"0.05\"}", "4" },  { "_bucket{le=\"5\"}", "4" },
    { "_bucket{le=\"+Inf\"}", "5" },  { "_count", "5" },
    { "_max_seconds", "60" },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mSample));
    const std::string metric = std::string(row.mSample) == "_max_seconds"
                                 ? "pollenway_event_loop_lag"
                                 : "pollenway_event_loop_lag_seconds";
    const std::string line =
      "\n" + metric + row.mSample + " " + row.mValue + "\n";
    CHECK(writer.Text().find(line) != std::string::npos);
  }
}
