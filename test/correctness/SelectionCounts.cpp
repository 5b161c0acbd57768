#include "SelectionCounts.h"

#include "MetricsWriter.h"
#include "TargetRanking.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

// Guards against counters that mix regions or reasons.
TEST_CASE("selections are counted by region and reason")
{
  SelectionCounts counts;
  counts.Add(RegionName("north"), SelectionReason::Planned);
  counts.Add(RegionName("north"), SelectionReason::Queue);
  counts.Add(RegionName("south"), SelectionReason::Queue);
  counts.Add(RegionName("south"), SelectionReason::Queue);
  CHECK(counts.Of(RegionName("north"), SelectionReason::Queue) == 1);
  CHECK(counts.Of(RegionName("south"), SelectionReason::Queue) == 2);
  CHECK(counts.Of(RegionName("east"), SelectionReason::Queue) == 0);
  MetricsWriter writer;
  counts.WriteTo(writer);
  CHECK(writer.Text().find("pollenway_selections_total{region=\"south\","
                           "reason=\"queue\"} 2\n") != std::string::npos);
}

// Guards against a reason that doesn't tell a queue from rejections or from a
// home that can't be used.
TEST_CASE("the reason says why a request left its home")
{
  struct Row
  {
    SelectionReason mReason;
    std::function<void(TargetState&)> mChange;
  };
  const Row rows[] = {
    { SelectionReason::Planned, [](TargetState&) {} },
    { SelectionReason::Queue,
      [](TargetState& aHome) {
        aHome.OnLoad({ .mRunning = 4, .mWaiting = 40 }, At(1));
      } },
    { SelectionReason::Rejections,
      [](TargetState& aHome) {
        aHome.OnLoad({ .mRunning = 4, .mWaiting = 6 }, At(1));
        for (int n = 0; n < 20; ++n) {
          aHome.OnShed(At(1));
        }
      } },
    { SelectionReason::Unavailable,
      [](TargetState& aHome) { aHome.OnFailure(At(1)); } },
    { SelectionReason::ColdLimit,
      [](TargetState& aHome) { aHome.SetCold(At(5)); } },
  };
  for (const auto& row : rows) {
    CAPTURE(Name(row.mReason));
    TargetTable table(RegionOfZones());
    PutTargets(table, "a", "n1", 4);
    const TargetRanking ranking(ZoneName("n1"), RegionName("north"));
    TargetRanking::Request request;
    request.mService = ServiceName("lookup");
    request.mObject = 5;
    const auto choose = [&] {
      return ranking.Choose(
        table, {}, request, At(1), [](const TargetState&) { return false; });
    };
    const auto home = choose().mTarget;
    REQUIRE(home);
    row.mChange(*home);
    const auto choice = choose();
    CHECK(choice.mReason == row.mReason);
    CHECK((choice.mTarget == home) ==
          (row.mReason == SelectionReason::Planned));
    const TargetName tried[] = { home->Record().mName };
    request.mTried = tried;
    CHECK(choose().mReason == SelectionReason::Retry);
  }
}
