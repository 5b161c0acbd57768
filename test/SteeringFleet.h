#pragma once

#include "LookupPolicy.h"
#include "Random.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenway {

/// Returns an inventory with regions r0, r1, ..., whose latency is 55 ms times
/// their distance, zones r0-a, r0-b, ..., a place and a target in each zone,
/// and one service "lookup".
inline std::shared_ptr<Inventory> MakeInventory(size_t aRegions,
                                                size_t aZonesPerRegion,
                                                double aCapacity)
{
  auto out = std::make_shared<Inventory>();
  out->mGeneration = 1;
  for (size_t r = 0; r < aRegions; ++r) {
    Region region;
    region.mName = RegionName("r" + std::to_string(r));
    region.mCapacity = aCapacity;
    for (size_t z = 0; z < aZonesPerRegion; ++z) {
      const std::string zone = region.mName.Text() + "-" + char('a' + z);
      region.mZones.emplace_back(zone);
      out->mPlaces.push_back({ .mName = PlaceName("place-" + zone),
                               .mZone = ZoneName(zone),
                               .mState = Lifecycle::Live,
                               .mSuccessor = {} });
      Target target;
      target.mName = TargetName("target-" + zone);
      target.mService = ServiceName("lookup");
      target.mPlace = out->mPlaces.back().mName;
      out->mTargets.push_back(target);
    }
    for (size_t other = 0; other < r; ++other) {
      out->mLinks.push_back({ .mFrom = out->mRegions[other].mName,
                              .mTo = region.mName,
                              .mBitsPerSecond = 4e9,
                              .mLatencyMs = 55 * double(r - other) });
    }
    out->mRegions.push_back(region);
  }
  Service service;
  service.mName = ServiceName("lookup");
  out->mServices.push_back(service);
  return out;
}

/// Returns live instances "<zone>-<n>" for each zone of the inventory.
inline std::vector<SteeringInstance> MakeInstances(const Inventory& aInventory,
                                                   size_t aPerZone)
{
  std::vector<SteeringInstance> out;
  for (const auto& region : aInventory.mRegions) {
    for (const auto& zone : region.mZones) {
      for (size_t i = 0; i < aPerZone; ++i) {
        SteeringInstance it;
        it.mName = InstanceName(zone.Text() + "-" + std::to_string(i));
        it.mZone = zone;
        it.mAddress = "10.0.0." + std::to_string(out.size() + 1);
        it.mPort = 8000;
        out.push_back(it);
      }
    }
  }
  return out;
}

/// Policy with its table and tracker. Its instance is the only member of its
/// zone's view, so that it owns all of the zone's headroom portion.
struct StandalonePolicy
{
  std::shared_ptr<Inventory> mInventory;
  ClientBlockTable mBlocks;
  HeadroomTracker mTracker;
  LookupPolicy mPolicy;
  std::vector<SteeringInstance> mInstances;

  explicit StandalonePolicy(std::shared_ptr<Inventory> aInventory,
                            size_t aPerZone = 3,
                            LookupOptions aLookup = {})
    : mInventory(std::move(aInventory))
    , mTracker(OptionsOfTracker(), *mInventory)
    , mPolicy(
        [&] {
          aLookup.mSelf = InstanceName("r0-a-0");
          aLookup.mZone = ZoneName("r0-a");
          return aLookup;
        }(),
        mBlocks,
        mTracker)
    , mInstances(MakeInstances(*mInventory, aPerZone))
  {
    mTracker.ApplyZoneView(
      { .mNumber = 1, .mMembers = { { InstanceName("r0-a-0"), 1 } } },
      TimePoint());
    Publish(TimePoint());
  }

  void Publish(TimePoint aNow)
  {
    mPolicy.SetView({ .mInventory = mInventory, .mInstances = mInstances },
                    aNow);
  }

  /// Lends the policy `aRate` (requests/s) of headroom in each zone for a few
  /// seconds.
  void Borrow(double aRate, TimePoint aNow = TimePoint())
  {
    for (size_t i = 0; i < mTracker.Numbering().Zones(); ++i) {
      const ZoneName& zone = mTracker.Numbering().NameOfZone(i);
      mTracker.OnLoans(InstanceName("lender"),
                       { HeadroomLoan{ .mZone = zone, .mRate = aRate } },
                       aNow,
                       aNow);
    }
  }

  LookupDecision LookUp(size_t aBlock, TimePoint aNow = TimePoint())
  {
    return mPolicy.Decide(
      { .mClient = IpAddress::FromV4(uint32_t(aBlock << 8 | 7)),
        .mService = ServiceName("lookup"),
        .mWorkspace = {} },
      aNow);
  }

private:
  static HeadroomOptions OptionsOfTracker()
  {
    HeadroomOptions out;
    out.mSelf = { InstanceName("r0-a-0"), 1 };
    out.mZone = ZoneName("r0-a");
    out.mUnmeasuredReserve = 0;
    return out;
  }
};

} // namespace pollenway
