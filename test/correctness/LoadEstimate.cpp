#include "LoadEstimate.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

using std::chrono::seconds;

LoadReport Report(const char* aSource, double aRate, int aSecond)
{
  return { .mReporter = InstanceName(aSource),
           .mZone = ZoneName("z"),
           .mRate = aRate,
           .mMeasuredAt = TimePoint() + seconds(aSecond) };
}

} // namespace

// Guards against accepting a load from no report, a single one or a wrong one.
TEST_CASE("a load is accepted from two sources that agree")
{
  struct Row
  {
    const char* mName;
    std::vector<LoadReport> mReports;
    double mExpected; ///< Negative: none.
  };
  const Row rows[] = {
    { "none", {}, -1 },
    { "one", { Report("a", 500, 0) }, -1 },
    { "one source twice", { Report("a", 500, 0), Report("a", 501, 1) }, -1 },
    { "two", { Report("a", 500, 0), Report("b", 500, 0) }, 500 },
    { "two that differ", { Report("a", 500, 0), Report("b", 900, 0) }, -1 },
    { "one misleads",
      { Report("a", 500, 0), Report("misleading", 0, 1), Report("b", 500, 0) },
      500 },
    { "an impossible report", { Report("a", 500, 0), Report("b", -1, 0) }, -1 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    LoadEstimate estimate;
    for (const auto& it : row.mReports) {
      estimate.Add(it);
    }
    estimate.Update(1000, TimePoint() + seconds(2));
    CHECK(estimate.Accepted().value_or(-1) == doctest::Approx(row.mExpected));
  }
}

// Guards against an estimate that decays or changes when measurements stop.
TEST_CASE("the last accepted load holds when reports stop")
{
  LoadEstimate estimate;
  estimate.Add(Report("a", 500, 0));
  estimate.Add(Report("b", 500, 0));
  estimate.Update(1000, TimePoint());
  for (int i = 0; i < 3600; i += 10) {
    if (i == 40) {
      estimate.Add(Report("a", 0, i)); // A single report is not accepted.
    }
    estimate.Update(1000, TimePoint() + seconds(i));
    REQUIRE(estimate.Accepted() == doctest::Approx(500));
    REQUIRE(estimate.IsCurrent() == (i <= 30));
  }
}

// Guards against old reports that outweigh newer reports.
TEST_CASE("the weight of a report falls with its age")
{
  LoadEstimate estimate;
  estimate.Add(Report("a", 400, 0));
  estimate.Add(Report("b", 440, 20));
  estimate.Update(1000, TimePoint() + seconds(20));
  CHECK(*estimate.Accepted() > 435);
}
