#include "SteeringIndex.h"

#include "HashOf.h"
#include "RendezvousHash.h"
#include "TrafficShift.h"

#include <algorithm>
#include <unordered_set>

namespace pollenway {

namespace {

constexpr size_t kNone = ZoneNumbering::kNone;
/// An instance is overloaded if its reported load exceeds this multiple of the
/// mean of its zone, and exceeds `kMinOverloadLoad` (requests/s).
constexpr double kOverloadFactor = 1.5;
constexpr double kMinOverloadLoad = 50;
/// Workspace names come from callers, so the cache size is limited.
constexpr size_t kMaxCachedOwners = 4096;

uint64_t HashOfInstance(const InstanceName& aName)
{
  return HashOf({ "instance", aName.Text() });
}

/// Follows the chain of successors to a live place. Returns null if there is
/// none.
const Place* SuccessorOf(const Inventory& aInventory, const Place& aPlace)
{
  const Place* place = &aPlace;
  for (size_t n = 0; place && n <= aInventory.mPlaces.size(); ++n) {
    if (place->mState == Lifecycle::Live) {
      return place;
    }
    place = aInventory.FindPlace(place->mSuccessor);
  }
  return nullptr;
}

} // namespace

SteeringIndex::SteeringIndex(SteeringView aView)
  : mView(std::move(aView))
  , mNumbering(*mView.mInventory)
  , mInstances(mNumbering.Zones())
  , mMembers(mNumbering.Zones())
{
  for (size_t i = 0; i < mNumbering.Regions(); ++i) {
    mRegionHashes.push_back(
      HashOf({ "region", mNumbering.NameOfRegion(i).Text() }));
  }
  std::unordered_map<ZoneName, size_t> zones;
  for (size_t i = 0; i < mNumbering.Zones(); ++i) {
    zones.emplace(mNumbering.NameOfZone(i), i);
    mZoneHashes.push_back(HashOf({ "zone", mNumbering.NameOfZone(i).Text() }));
  }
  for (const auto& it : mView.mInstances) {
    const auto zone = zones.find(it.mZone);
    if (zone == zones.end()) {
      continue;
    }
    mMembers[zone->second].push_back(it.mName);
    if (it.mState == InstanceState::Live) {
      mInstances[zone->second].push_back({ .mHash = HashOfInstance(it.mName),
                                           .mInstance = &it,
                                           .mIsOverloaded = false });
    }
  }
  for (auto& zone : mInstances) {
    double sum = 0;
    for (const auto& it : zone) {
      sum += it.mInstance->mLoad;
    }
    const double bound =
      std::max(kMinOverloadLoad, kOverloadFactor * sum / double(zone.size()));
    for (auto& it : zone) {
      it.mIsOverloaded = it.mInstance->mLoad > bound;
    }
  }
  for (const auto& it : mView.mInventory->mServices) {
    AddService(it);
  }
}

void SteeringIndex::AddService(const Service& aService)
{
  const Inventory& inventory = *mView.mInventory;
  const size_t regions = mNumbering.Regions();
  ServiceEntry entry;
  entry.mService = &aService;
  entry.mHash = HashOf({ "service", aService.mName.Text() });
  entry.mZones.resize(regions);
  entry.mOrder.resize(regions);
  entry.mSuccessor.assign(regions, kNone);

  std::vector<bool> hasInstances(regions, false);
  for (size_t zone = 0; zone < mNumbering.Zones(); ++zone) {
    if (!mInstances[zone].empty()) {
      hasInstances[mNumbering.RegionOfZone(zone)] = true;
    }
  }
  std::unordered_map<PlaceName, const Place*> places;
  for (const auto& it : inventory.mPlaces) {
    places.emplace(it.mName, &it);
  }
  std::vector<bool> serves(mNumbering.Zones(), false);
  std::vector<const Place*> inactivePlaces;
  std::unordered_set<const Place*> seen;
  for (const auto& target : inventory.mTargets) {
    const auto place = places.find(target.mPlace);
    if (target.mService != aService.mName || place == places.end() ||
        !seen.insert(place->second).second) {
      continue;
    }
    if (place->second->mState != Lifecycle::Live) {
      inactivePlaces.push_back(place->second);
    }
  }
  for (const auto& target : inventory.mTargets) {
    const auto place = places.find(target.mPlace);
    if (target.mService == aService.mName && place != places.end() &&
        target.mState == Lifecycle::Live &&
        place->second->mState == Lifecycle::Live) {
      const size_t zone = mNumbering.FindZone(place->second->mZone);
      if (zone != kNone) {
        serves[zone] = true;
      }
    }
  }
  for (size_t zone = 0; zone < mNumbering.Zones(); ++zone) {
    const size_t region = mNumbering.RegionOfZone(zone);
    if (serves[zone] && hasInstances[region]) {
      entry.mZones[region].push_back(zone);
    }
  }
  for (const auto* it : inactivePlaces) {
    const size_t zone = mNumbering.FindZone(it->mZone);
    const Place* successor = SuccessorOf(inventory, *it);
    const size_t to = successor ? mNumbering.FindZone(successor->mZone) : kNone;
    if (zone == kNone || to == kNone) {
      continue;
    }
    const size_t region = mNumbering.RegionOfZone(zone);
    if (entry.mZones[region].empty() && entry.mSuccessor[region] == kNone) {
      entry.mSuccessor[region] = mNumbering.RegionOfZone(to);
    }
  }
  for (size_t origin = 0; origin < regions; ++origin) {
    auto& order = entry.mOrder[origin];
    std::vector<double> latency(regions);
    for (size_t i = 0; i < regions; ++i) {
      latency[i] = inventory.LatencyMs(mNumbering.NameOfRegion(origin),
                                       mNumbering.NameOfRegion(i));
      if (!entry.mZones[i].empty()) {
        order.push_back(i);
      }
    }
    std::stable_sort(
      order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
        return latency[aLeft] < latency[aRight];
      });
    const auto successor =
      std::find(order.begin(), order.end(), entry.mSuccessor[origin]);
    if (successor != order.end()) {
      std::rotate(order.begin(), successor, successor + 1);
    } else {
      entry.mSuccessor[origin] = kNone;
    }
  }
  for (const auto& it : inventory.mShifts) {
    const size_t from = mNumbering.FindRegion(it.mFrom);
    const size_t to = mNumbering.FindRegion(it.mTo);
    if (it.mService == aService.mName && from != kNone && to != kNone) {
      entry.mShifts.push_back({ .mShift = &it,
                                .mHash = TrafficShift::HashOfShift(it.mName),
                                .mFrom = from,
                                .mTo = to });
    }
  }
  mServices.emplace(aService.mName, std::move(entry));
}

const SteeringIndex::ServiceEntry* SteeringIndex::FindService(
  const ServiceName& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

uint64_t SteeringIndex::AccountOwner(const WorkspaceName& aWorkspace,
                                     size_t aZone) const
{
  if (mOwners.size() >= kMaxCachedOwners) {
    mOwners.clear();
  }
  auto& owners = mOwners[aWorkspace];
  if (owners.empty()) {
    for (const auto& it : mMembers) {
      const auto* owner = FirstByRendezvous(aWorkspace.Text(), it);
      owners.push_back(owner ? HashOfInstance(*owner) : 0);
    }
  }
  return owners[aZone];
}

} // namespace pollenway
