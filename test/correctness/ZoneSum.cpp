#include "ZoneSum.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

InstanceSummary Summary(int aNumber, bool aIsReady)
{
  InstanceSummary out;
  out.mName = InstanceName("edge-" + std::to_string(aNumber));
  out.mIncarnation = 1;
  out.mSequence = 1;
  out.mZone = ZoneName("n1");
  out.mRegion = RegionName("north");
  out.mCaller = { "127.0.0.1", uint16_t(8000 + aNumber) };
  out.mReady = aIsReady;
  out.mServiceRates = { { ServiceName("lookup"), 2 },
                        { ServiceName("s" + std::to_string(aNumber % 2)), 1 } };
  out.mTargetPosition = { { 2 }, 9 };
  return out;
}

} // namespace

// Guards against a zone's digest that leaves out the sender, counts silent
// instances, or directs callers to instances that are silent or not ready.
TEST_CASE("a zone's digest sums over its live instances and the sender")
{
  InstanceTable others(InstanceName("edge-0"), ZoneName("n1"));
  others.OnSummary(Summary(1, true), At(10));
  others.OnSummary(Summary(2, false), At(10));
  others.OnSummary(Summary(3, true), At(5));
  const std::vector<ZoneDelegate> delegates{ { InstanceName("edge-1"),
                                               { "127.0.0.1", 7001 } } };
  const auto digest = SumZone(Summary(0, true), others, delegates, At(10.1));
  CHECK(digest.mScope == DigestScope::Zone);
  CHECK(digest.mTargetPosition == StorePosition{ { 2 }, 9 });
  REQUIRE(digest.mZones.size() == 1);
  const auto& status = digest.mZones.front();
  CHECK(status.mZone == ZoneName("n1"));
  CHECK(status.mRegion == RegionName("north"));
  CHECK(status.mKnown == 4);
  CHECK(status.mReachable == 3);
  CHECK(status.mDelegates == delegates);
  CHECK(
    status.mCallerEndpoints ==
    std::vector<IpEndpoint>{ { "127.0.0.1", 8000 }, { "127.0.0.1", 8001 } });
  CHECK(status.mServiceRates ==
        std::vector<ServiceRate>{ { ServiceName("lookup"), 6 },
                                  { ServiceName("s0"), 2 },
                                  { ServiceName("s1"), 1 } });
}

// Guards against a digest that grows with the size of the zone.
TEST_CASE("a zone's digest names a bounded number of instances")
{
  InstanceTable others(InstanceName("edge-0"), ZoneName("n1"));
  for (int n = 1; n < 200; ++n) {
    others.OnSummary(Summary(n, true), At(10));
  }
  const auto digest = SumZone(Summary(0, true), others, {}, At(10.1));
  CHECK(digest.mZones.front().mKnown == 200);
  CHECK(digest.mZones.front().mCallerEndpoints.size() == kMaxCallerEndpoints);
}

// Guards against callers and relayed requests of other zones that are sent to
// instances without paths to targets while others of the zone have them.
TEST_CASE("a zone's digest names the instances that reach targets")
{
  struct Row
  {
    std::vector<bool> mReachesTargets;
    std::vector<bool> mIsReady;
    std::vector<int> mNamed;
    bool mZoneReachesTargets;
  };
  const Row rows[] = {
    { { true, true, true }, { true, true, true }, { 0, 1, 2 }, true },
    { { false, true, true }, { true, true, true }, { 1, 2 }, true },
    { { false, false, true }, { true, true, true }, { 2 }, true },
    { { true, false, false }, { true, true, true }, { 0 }, true },
    { { false, false, false }, { true, true, true }, { 0, 1, 2 }, false },
    { { false, false, true }, { true, true, false }, { 0, 1 }, false },
    { { true, true, true }, { false, false, false }, {}, false },
  };
  for (const auto& row : rows) {
    std::vector<InstanceSummary> summaries;
    for (int n = 0; n < 3; ++n) {
      summaries.push_back(Summary(n, row.mIsReady[size_t(n)]));
      summaries.back().mReachesTargets = row.mReachesTargets[size_t(n)];
    }
    InstanceTable others(InstanceName("edge-0"), ZoneName("n1"));
    others.OnSummary(summaries[1], At(10));
    others.OnSummary(summaries[2], At(10));
    const auto digest = SumZone(summaries[0], others, {}, At(10.1));
    std::vector<IpEndpoint> named;
    for (const int it : row.mNamed) {
      named.push_back({ "127.0.0.1", uint16_t(8000 + it) });
    }
    CHECK(digest.mZones.front().mCallerEndpoints == named);
    CHECK(digest.mZones.front().mReachesTargets == row.mZoneReachesTargets);
  }
}
