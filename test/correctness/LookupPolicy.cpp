#include "../SteeringFleet.h"

#include "RendezvousHash.h"

#include <doctest/doctest.h>
#include <set>

using namespace pollenway;

namespace {

using std::chrono::seconds;

constexpr size_t kBlocks = 2000;

/// Policy with the client blocks 0, 1, ..., `kBlocks` - 1, all of region r0.
struct Setup : StandalonePolicy
{
  explicit Setup(double aLoadBound = 1.25,
                 double aCapacity = 1e6,
                 size_t aRegions = 3)
    : StandalonePolicy(MakeInventory(aRegions, 2, aCapacity),
                       3,
                       OptionsOf(aLoadBound))
  {
    for (size_t i = 0; i < kBlocks; ++i) {
      REQUIRE(mBlocks.Insert(IpPrefix(IpAddress::FromV4(uint32_t(i << 8)), 24),
                             RegionName("r0")));
    }
    if (aRegions > 1) {
      Borrow(aCapacity);
    }
  }

  static LookupOptions OptionsOf(double aLoadBound)
  {
    LookupOptions out;
    out.mLoadBound = aLoadBound;
    return out;
  }

  void PublishInventory(Inventory aInventory)
  {
    mInventory = std::make_shared<Inventory>(std::move(aInventory));
    Publish(TimePoint());
  }

  Place& PlaceIn(Inventory& aInventory, const char* aZone)
  {
    for (auto& it : aInventory.mPlaces) {
      if (it.mZone.Text() == aZone) {
        return it;
      }
    }
    FAIL("no such place");
    return aInventory.mPlaces[0];
  }
};

bool HasReason(const LookupDecision& aDecision, LookupReasonKind aKind)
{
  return std::any_of(
    aDecision.mReasons.begin(),
    aDecision.mReasons.end(),
    [&](const auto& aReason) { return aReason.mKind == aKind; });
}

} // namespace

// Guards against an answer with an instance of another region although the
// caller's own region has headroom, and against an ETag that changes although
// the answer does not. Also guards against an answer whose instances are all in
// one zone: 34 requests were lost when a zone was killed (bench/faults
// zone-kill, seed 1).
TEST_CASE("a look-up is answered from the nearest region")
{
  Setup setup;
  const LookupDecision first = setup.LookUp(5);
  REQUIRE(first.mCode == ResultCode::Ok);
  CHECK(first.mRegion == RegionName("r0"));
  REQUIRE(first.mInstances.size() == 4);
  unsigned weights = 0;
  std::set<InstanceName> names;
  for (const auto& it : first.mInstances) {
    CHECK(it.mName.Text().substr(0, 2) == "r0");
    weights += it.mWeight;
    names.insert(it.mName);
  }
  CHECK(weights == 100);
  CHECK(names.size() == 4);
  const auto& standby = first.mInstances.back();
  CHECK(standby.mWeight == 0);
  const std::string zone = first.mZone.Text();
  CHECK(standby.mName.Text().substr(0, zone.size()) != zone);
  CHECK(setup.LookUp(5).mVersion == first.mVersion);
  CHECK(HasReason(first, LookupReasonKind::BlockMatched));
  CHECK(first.mReasons.back().Text().find("chosen region=r0 zone=r0-") == 0);
  CHECK(HasReason(setup.LookUp(kBlocks + 1), LookupReasonKind::BlockUnknown));
}

// Guards against answers with a place that is retired or draining.
TEST_CASE("places that are retired or draining get no new answers")
{
  Setup setup;
  Inventory inventory = *setup.mInventory;
  setup.PlaceIn(inventory, "r0-a").mState = Lifecycle::Draining;
  setup.PublishInventory(inventory);
  for (size_t i = 0; i < 200; ++i) {
    REQUIRE(setup.LookUp(i).mZone == ZoneName("r0-b"));
  }
  // All places of r0 are retired; the successor is in r2, not in the nearer r1.
  setup.PlaceIn(inventory, "r0-a").mState = Lifecycle::Retired;
  setup.PlaceIn(inventory, "r0-b").mState = Lifecycle::Retired;
  setup.PlaceIn(inventory, "r0-b").mSuccessor = PlaceName("place-r1-a");
  setup.PlaceIn(inventory, "r1-a").mState = Lifecycle::Retired;
  setup.PlaceIn(inventory, "r1-a").mSuccessor = PlaceName("place-r2-b");
  setup.PublishInventory(inventory);
  for (size_t i = 0; i < 200; ++i) {
    const auto decision = setup.LookUp(i);
    REQUIRE(decision.mRegion == RegionName("r2"));
    REQUIRE(HasReason(decision, LookupReasonKind::ServedBySuccessor));
  }
}

// Guards against answers that include a leaving instance.
TEST_CASE("a leaving instance is in no new answer")
{
  Setup setup;
  setup.mInstances[1].mState = InstanceState::Leaving;
  setup.Publish(TimePoint());
  for (size_t i = 0; i < kBlocks; ++i) {
    for (const auto& it : setup.LookUp(i).mInstances) {
      REQUIRE(it.mName != setup.mInstances[1].mName);
    }
  }
}

// Guards against callers of a known workspace that are not sent to the instance
// that owns its account: their admissions would need a remote call.
TEST_CASE("the owner of the workspace's account comes first")
{
  Setup setup(1e9);
  const WorkspaceName workspace("council");
  for (size_t i = 0; i < 50; ++i) {
    const auto decision =
      setup.mPolicy.Decide({ .mClient = IpAddress::FromV4(uint32_t(i << 8)),
                             .mService = ServiceName("lookup"),
                             .mWorkspace = workspace },
                           TimePoint());
    std::vector<InstanceName> members;
    for (const auto& it : setup.mInstances) {
      if (it.mZone == decision.mZone) {
        members.push_back(it.mName);
      }
    }
    REQUIRE(decision.mInstances[0].mName ==
            *FirstByRendezvous(workspace.Text(), members));
  }
}

// Guards against a shift that moves more or fewer callers than its share, or
// moves callers back as the share grows, and against a rolled-back shift that
// still moves callers.
TEST_CASE("a shift moves its share of the callers")
{
  Setup setup;
  Inventory inventory = *setup.mInventory;
  ShiftDeclaration shift;
  shift.mName = ShiftName("move");
  shift.mService = ServiceName("lookup");
  shift.mFrom = RegionName("r0");
  shift.mTo = RegionName("r2");
  std::set<size_t> before;
  for (const double share : { 0.0, 0.1, 0.35, 1.0 }) {
    CAPTURE(share);
    shift.mShare = share;
    inventory.mShifts = { shift };
    setup.PublishInventory(inventory);
    std::set<size_t> moved;
    for (size_t i = 0; i < kBlocks; ++i) {
      const auto decision = setup.LookUp(i);
      if (decision.mRegion == RegionName("r2")) {
        REQUIRE(HasReason(decision, LookupReasonKind::MovedByShift));
        moved.insert(i);
      }
    }
    CHECK(double(moved.size()) / double(kBlocks) ==
          doctest::Approx(share).epsilon(0.1));
    CHECK(
      std::includes(moved.begin(), moved.end(), before.begin(), before.end()));
    before = moved;
  }
  inventory.mShifts[0].mState = ShiftState::RolledBack;
  setup.PublishInventory(inventory);
  CHECK(setup.LookUp(1).mRegion == RegionName("r0"));
}

// Guards against callers of other instances being moved when an instance is
// removed.
TEST_CASE("removing an instance moves only its own blocks")
{
  Setup setup(1e9);
  std::vector<std::vector<LookupInstance>> before;
  for (size_t i = 0; i < kBlocks; ++i) {
    before.push_back(setup.LookUp(i).mInstances);
  }
  const InstanceName removed = setup.mInstances[0].mName;
  setup.mInstances.erase(setup.mInstances.begin());
  setup.Publish(TimePoint());
  size_t kept = 0;
  for (size_t i = 0; i < kBlocks; ++i) {
    std::vector<InstanceName> expected;
    for (const auto& it : before[i]) {
      expected.push_back(it.mName);
    }
    if (std::find(expected.begin(), expected.end(), removed) !=
        expected.end()) {
      continue;
    }
    std::vector<InstanceName> after;
    for (const auto& it : setup.LookUp(i).mInstances) {
      after.push_back(it.mName);
    }
    REQUIRE(after == expected);
    ++kept;
  }
  CHECK(kept > kBlocks / 4);
}

// Guards against callers being moved between zones when a zone is added to the
// inventory or the order of its regions changes.
TEST_CASE("the order of the inventory does not matter")
{
  Setup setup(1e9);
  std::vector<std::string> before;
  for (size_t i = 0; i < 200; ++i) {
    before.push_back(setup.LookUp(i).mVersion);
  }
  Inventory inventory = *setup.mInventory;
  std::reverse(inventory.mRegions.begin(), inventory.mRegions.end());
  for (auto& it : inventory.mRegions) {
    std::reverse(it.mZones.begin(), it.mZones.end());
  }
  setup.PublishInventory(inventory);
  for (size_t i = 0; i < 200; ++i) {
    REQUIRE(setup.LookUp(i).mVersion == before[i]);
  }
}

// Guards against one instance receiving most of the load because a few blocks
// with high rates hash to it.
TEST_CASE("bounded loads hold for blocks of unequal rates")
{
  for (const double bound : { 1.1, 1.25 }) {
    CAPTURE(bound);
    Setup setup(bound);
    Random random(3);
    std::map<InstanceName, double> load;
    double maxRate = 0;
    for (size_t n = 0; n < 3 * kBlocks; ++n) {
      const size_t block = random.Chance(0.5) ? 7 : random.Below(kBlocks);
      const auto decision = setup.LookUp(block);
      REQUIRE(decision.mCode == ResultCode::Ok);
      maxRate = std::max(maxRate, decision.mCommittedRate);
      for (int request = 0; request < 5; ++request) {
        setup.mPolicy.CountRequest(IpAddress::FromV4(uint32_t(block << 8)),
                                   TimePoint());
      }
      for (const auto& it : decision.mInstances) {
        load[it.mName] += decision.mCommittedRate * it.mWeight / 100;
      }
    }
    for (const std::string zone : { "r0-a", "r0-b" }) {
      double sum = 0;
      double maxLoad = 0;
      for (const auto& it : load) {
        if (it.first.Text().substr(0, 4) == zone) {
          sum += it.second;
          maxLoad = std::max(maxLoad, it.second);
        }
      }
      CHECK(maxLoad <= bound * sum / 3 + 5 * maxRate);
    }
  }
}

// Guards against overload when all headroom is used, against admission in order
// of arrival, and against a set of admitted blocks that never changes.
TEST_CASE("without headroom blocks are refused by hash, whoever asks first")
{
  std::set<size_t> admitted[2];
  std::set<size_t> everAdmitted;
  for (const bool reverse : { false, true }) {
    // 2000 answers at 1/s each compete for the 200/s that this instance owns.
    Setup setup(1.25, 400, 1);
    TimePoint now;
    for (int step = 0; step < 3000; ++step) {
      // Each tenth of the blocks sends one look-up every 5 s.
      if (step % 10 == 0) {
        admitted[reverse].clear();
      }
      for (size_t n = size_t(step) % 10; n < kBlocks; n += 10) {
        const size_t i = reverse ? kBlocks - 1 - n : n;
        const auto decision = setup.LookUp(i, now);
        if (decision.mCode == ResultCode::Ok) {
          admitted[reverse].insert(i);
          everAdmitted.insert(i);
          for (int request = 0; request < 5; ++request) {
            setup.mPolicy.CountRequest(IpAddress::FromV4(uint32_t(i << 8)),
                                       now);
          }
          continue;
        }
        REQUIRE(decision.mCode == ResultCode::NoHeadroom);
        REQUIRE(decision.mRetryAfter >= seconds(5));
        REQUIRE(HasReason(decision, LookupReasonKind::Refused));
      }
      REQUIRE(setup.mTracker.Committed(0, now) <= 200 + 1e-6);
      now += std::chrono::milliseconds(500);
      setup.mPolicy.Tick(now);
    }
  }
  size_t both = 0;
  for (const size_t it : admitted[0]) {
    both += admitted[1].count(it);
  }
  MESSAGE("admitted " << admitted[0].size() << " and " << admitted[1].size()
                      << ", both " << both << ", ever " << everAdmitted.size());
  CHECK(everAdmitted.size() > 3 * admitted[0].size());
  CHECK(admitted[0].size() > 100);
  CHECK(double(both) > 0.9 * double(admitted[0].size()));
}
