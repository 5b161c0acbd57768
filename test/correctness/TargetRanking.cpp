#include "TargetRanking.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

#include <set>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

const ServiceName kService("lookup");

/// Four targets in n1, two in n2, four in s1, seen from n1.
struct Fixture
{
  Fixture()
    : mTable(RegionOfZones())
    , mRanking(ZoneName("n1"), RegionName("north"))
  {
    PutTargets(mTable, "a", "n1", 4);
    PutTargets(mTable, "b", "n2", 2);
    PutTargets(mTable, "c", "s1", 4);
  }

  std::shared_ptr<TargetState> Pick(TargetRanking::Request aRequest,
                                    TimePoint aNow = At(1)) const
  {
    aRequest.mService = kService;
    return mRanking.Pick(
      mTable, mShares, aRequest, aNow, [this](const TargetState&) {
        return mMayUseCold;
      });
  }

  TargetTable mTable;
  TargetRanking mRanking;
  PlacementShares mShares;
  bool mMayUseCold = true;
};

std::string NameOf(const std::shared_ptr<TargetState>& aTarget)
{
  return aTarget ? aTarget->Record().mName.Text() : std::string();
}

} // namespace

// Guards against objects that move between targets, which would run each
// request cold.
TEST_CASE("an object keeps its target, and objects spread over the zone")
{
  const Fixture fixture;
  std::set<std::string> used;
  for (uint64_t object = 0; object < 100; ++object) {
    const auto first = fixture.Pick({ .mObject = object });
    REQUIRE(first);
    CHECK(first->Record().mZone == ZoneName("n1"));
    CHECK(fixture.Pick({ .mObject = object }) == first);
    used.insert(NameOf(first));
  }
  CHECK(used.size() == 4);
}

// Guards against a full or slow home that receives all requests although
// another target would answer sooner, and against leaving the home because of a
// short queue.
TEST_CASE("a request leaves its home only if another target answers sooner")
{
  struct Row
  {
    unsigned mLoad;
    bool mLeaves;
  };
  const Row rows[] = { { 0, false }, { 4, false }, { 7, false }, { 24, true } };
  for (const auto& it : rows) {
    CAPTURE(it.mLoad);
    const Fixture fixture;
    const auto home = fixture.Pick({ .mObject = 5 });
    home->OnLoad({ it.mLoad, 0, 4 }, At(1));
    CHECK((fixture.Pick({ .mObject = 5 }) != home) == it.mLeaves);
  }
}

// Guards against requests in regions or zones where they may not run, to
// targets that failed recently, and to targets already tried.
TEST_CASE("targets that may not be used are skipped")
{
  Fixture fixture;
  const auto home = fixture.Pick({ .mObject = 5 });
  const std::vector<RegionName> south{ RegionName("south") };
  const std::vector<RegionName> north{ RegionName("north") };
  CHECK(fixture.Pick({ .mObject = 5, .mRouteRegions = south })->Region() ==
        RegionName("south"));
  CHECK(fixture.Pick({ .mObject = 5, .mWorkspaceRegions = south })->Region() ==
        RegionName("south"));
  CHECK_FALSE(fixture.Pick(
    { .mObject = 5, .mRouteRegions = north, .mWorkspaceRegions = south }));

  const std::vector<TargetName> tried{ home->Record().mName };
  CHECK(fixture.Pick({ .mObject = 5, .mTried = tried }) != home);

  home->OnFailure(At(1));
  CHECK(fixture.Pick({ .mObject = 5 }, At(1.1)) != home);
  CHECK(fixture.Pick({ .mObject = 5 }, At(1.3)) == home);

  fixture.mTable.SetEvacuatedZones({ ZoneName("n1"), ZoneName("s1") });
  CHECK(fixture.Pick({ .mObject = 5 })->Record().mZone == ZoneName("n2"));
  fixture.mTable.SetEvacuatedZones(
    { ZoneName("n1"), ZoneName("n2"), ZoneName("s1") });
  CHECK_FALSE(fixture.Pick({ .mObject = 5 }));
}

// Guards against more requests to a cold target than it tolerates.
TEST_CASE("a cold target is used only if the check allows it")
{
  Fixture fixture;
  const auto home = fixture.Pick({ .mObject = 5 });
  home->SetCold(At(10));
  CHECK(fixture.Pick({ .mObject = 5 }) == home);
  fixture.mMayUseCold = false;
  CHECK(fixture.Pick({ .mObject = 5 }) != home);
  CHECK(fixture.Pick({ .mObject = 5 }, At(10)) == home);
}

// Guards against a zone that keeps all objects although its targets have
// capacity for only some of them.
TEST_CASE("the plan's shares place objects outside the zone")
{
  Fixture fixture;
  fixture.mShares.mZone = 0.25;
  fixture.mShares.mRegion = 0.5;
  std::map<std::string, int> byZone;
  for (uint64_t object = 0; object < 1000; ++object) {
    ++byZone[fixture.Pick({ .mObject = object })->Record().mZone.Text()];
  }
  CHECK(byZone["n1"] == doctest::Approx(250).epsilon(0.15));
  CHECK(byZone["n2"] == doctest::Approx(250).epsilon(0.15));
  CHECK(byZone["s1"] == doctest::Approx(500).epsilon(0.15));
}
