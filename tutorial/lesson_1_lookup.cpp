// Lesson 1: look-up decisions.
//
// Two regions, north and south, with one zone each. This program is the entry
// instance "north-a-1". It answers look-ups until its zone has no headroom
// left. Then the place in north is retired, so that look-ups return south.

#include "LookupPolicy.h"

#include <iostream>

using namespace pollenway;

namespace {

constexpr double kCapacity = 100; // requests/s of each region

std::shared_ptr<Inventory> MakeInventory()
{
  auto out = std::make_shared<Inventory>();
  out->mGeneration = 1;
  for (const std::string name : { "north", "south" }) {
    const ZoneName zone(name + "-a");
    const PlaceName place(name + "-site");
    Region region;
    region.mName = RegionName(name);
    region.mZones = { zone };
    region.mCapacity = kCapacity;
    out->mRegions.push_back(region);
    out->mPlaces.push_back(
      { .mName = place, .mZone = zone, .mState = {}, .mSuccessor = {} });
    Target target;
    target.mName = TargetName("stock-" + name);
    target.mService = ServiceName("stock");
    target.mPlace = place;
    out->mTargets.push_back(target);
  }
  out->mLinks.push_back({ .mFrom = RegionName("north"),
                          .mTo = RegionName("south"),
                          .mBitsPerSecond = 4e9,
                          .mLatencyMs = 55 });
  Service service;
  service.mName = ServiceName("stock");
  out->mServices.push_back(service);
  return out;
}

HeadroomOptions TrackerOptions()
{
  HeadroomOptions out;
  out.mSelf = { InstanceName("north-a-1"), 1 };
  out.mZone = ZoneName("north-a");
  // By default, half of the capacity is reserved until a load is measured.
  out.mUnmeasuredReserve = 0;
  return out;
}

LookupOptions PolicyOptions()
{
  LookupOptions out;
  out.mSelf = InstanceName("north-a-1");
  out.mZone = ZoneName("north-a");
  return out;
}

SteeringInstance MakeInstance(const char* aName, const char* aZone)
{
  SteeringInstance out;
  out.mName = InstanceName(aName);
  out.mZone = ZoneName(aZone);
  out.mAddress = "10.0.0.1";
  out.mPort = 8080;
  return out;
}

/// Look-up of caller number `aCaller`, which has its own client block.
LookupRequest RequestOf(uint32_t aCaller)
{
  return { .mClient = IpAddress::FromV4(0x0a000000 | aCaller << 8 | 7),
           .mService = ServiceName("stock"),
           .mWorkspace = {} };
}

void Print(const LookupDecision& aDecision)
{
  std::cout << "  " << Name(aDecision.mCode) << " " << aDecision.mRegion
            << "\n";
  for (const auto& it : aDecision.mReasons) {
    std::cout << "    " << it.Text() << "\n";
  }
}

bool Check(bool aCondition, const char* aText)
{
  std::cout << (aCondition ? "as expected: " : "NOT AS EXPECTED: ") << aText
            << "\n";
  return aCondition;
}

} // namespace

int main()
{
  // The core never reads a clock; the program passes in the time.
  TimePoint now{};
  auto inventory = MakeInventory();

  // The callers' addresses 10.x.x.x all belong to north.
  ClientBlockTable blocks;
  for (uint32_t n = 0; n < 1000; ++n) {
    const IpPrefix block(IpAddress::FromV4(0x0a000000 | n << 8), 24);
    if (!blocks.Insert(block, RegionName("north"))) {
      return 1;
    }
  }

  // As the only member of its zone's view, this instance owns all of the zone's
  // headroom.
  HeadroomTracker headroom(TrackerOptions(), *inventory);
  headroom.ApplyZoneView(
    { .mNumber = 1, .mMembers = { { InstanceName("north-a-1"), 1 } } }, now);
  LookupPolicy policy(PolicyOptions(), blocks, headroom);
  const std::vector<SteeringInstance> instances = {
    MakeInstance("north-a-1", "north-a"), MakeInstance("south-a-1", "south-a")
  };
  policy.SetView({ .mInventory = inventory, .mInstances = instances }, now);

  bool ok = true;
  std::cout << "one caller of north:\n";
  const auto first = policy.Decide(RequestOf(0), now);
  Print(first);
  ok &=
    Check(first.mCode == ResultCode::Ok && first.mRegion == RegionName("north"),
          "the nearest region answers");

  // Each answer commits headroom for the rate that the caller is expected to
  // send. South's headroom belongs to south's instances and none was borrowed.
  double committed = first.mCommittedRate;
  uint32_t answered = 1;
  uint32_t refused = 0;
  for (uint32_t n = 1; n < 1000; ++n) {
    const auto decision = policy.Decide(RequestOf(n), now);
    committed += decision.mCode == ResultCode::Ok ? decision.mCommittedRate : 0;
    ++(decision.mCode == ResultCode::Ok ? answered : refused);
  }
  std::cout << "1000 callers at once: " << answered << " answered, " << refused
            << " refused, " << committed << " requests/s committed\n";
  ok &= Check(answered > 1 && refused > 0 && committed <= kCapacity,
              "never more than the capacity is committed");

  // When the answers have expired, their headroom is available again. South
  // then lends some of its headroom, and the place in north is retired.
  now += std::chrono::minutes(1);
  auto changed = std::make_shared<Inventory>(*inventory);
  changed->mGeneration = 2;
  changed->mPlaces[0].mState = Lifecycle::Retired;
  changed->mPlaces[0].mSuccessor = PlaceName("south-site");
  policy.SetView({ .mInventory = changed, .mInstances = instances }, now);
  headroom.OnLoans(
    InstanceName("south-a-1"),
    { HeadroomLoan{ .mZone = ZoneName("south-a"), .mRate = kCapacity / 2 } },
    now,
    now);
  std::cout << "the same caller after north's place was retired:\n";
  const auto moved = policy.Decide(RequestOf(0), now);
  Print(moved);
  ok &=
    Check(moved.mCode == ResultCode::Ok && moved.mRegion == RegionName("south"),
          "the successor's region answers");
  return ok ? 0 : 1;
}
