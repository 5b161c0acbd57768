#include "PlacementPlan.h"

#include <algorithm>
#include <chrono>

namespace pollenway {

namespace {

/// Maximum load on the targets of a zone or region from its own callers,
/// relative to their even share of the work. A nearby home saves a round trip
/// between regions, but an overloaded one costs more.
constexpr double kMaxLocalLoadFactor = 1.1;
/// Demand assumed for each zone in addition to the measured one, relative to
/// the mean of all zones. Keeps the plan stable while little demand is
/// measured.
constexpr double kAssumedDemandFraction = 0.25;
/// Minimum weight of a slot in a zone without spare capacity, so that an object
/// can be placed when no zone has any.
constexpr double kMinSlotWeight = 0.05;
/// Maximum share of a service's requests per second that the plan moves to
/// another region. The operators allow 0.15 in 2 s, and requests that leave
/// their home for its queue, and the choice of the objects, add to it.
constexpr double kMaxMovedPerSecond = 0.015;
/// Time after the first update in which the shares follow at once. A process
/// that has just started has placed nothing yet, and learns the demand of the
/// other zones from their next reports.
constexpr Duration kSettlingTime = std::chrono::seconds(3);
/// Maximum time between two updates that counts for the change.
constexpr double kMaxUpdateSeconds = 1;

double LocalShare(double aSlots, double aTotalSlots, double aDemandFraction)
{
  if (aTotalSlots <= 0 || aDemandFraction <= 0) {
    return 1;
  }
  return std::min(
    1.0, kMaxLocalLoadFactor * (aSlots / aTotalSlots) / aDemandFraction);
}

/// Distributes the objects that are not placed in the own region over the
/// others. `aWeights` are the sums of the slots' weights.
RegionShares DistributeOverRegions(const RegionName& aOwnRegion,
                                   double aOwnShare,
                                   RegionShares aWeights)
{
  aWeights.erase(aOwnRegion);
  double sum = 0;
  for (const auto& [region, weight] : aWeights) {
    sum += weight;
  }
  for (auto& [region, weight] : aWeights) {
    weight = sum > 0 ? (1 - aOwnShare) * weight / sum : 0;
  }
  if (sum <= 0 || aOwnShare > 0) {
    aWeights[aOwnRegion] = sum > 0 ? aOwnShare : 1;
  }
  return aWeights;
}

} // namespace

PlacementPlan::PlacementPlan(ZoneName aZone,
                             std::map<ZoneName, RegionName> aRegionOf)
  : mZone(std::move(aZone))
  , mRegionOf(std::move(aRegionOf))
{
}

void PlacementPlan::Update(const TargetTable& aTable,
                           const std::map<ServiceName, ZoneDemand>& aDemand,
                           const std::set<ServiceName>& aUsedServices,
                           TimePoint aNow)
{
  static const ZoneDemand kNoDemand;
  const double maxMoved =
    kMaxMovedPerSecond *
    std::min(kMaxUpdateSeconds, ToSeconds(aNow - mUpdatedAt));
  mUpdatedAt = aNow;
  mFirstUpdateAt = mFirstUpdateAt.value_or(aNow);
  const bool isSettling = aNow - *mFirstUpdateAt < kSettlingTime;
  std::unordered_map<ServiceName, PlacementShares> shares;
  for (const auto& service : aTable.Services()) {
    const auto demand = aDemand.find(service);
    auto wanted = Compute(
      aTable, service, demand == aDemand.end() ? kNoDemand : demand->second);
    const auto current = mShares.find(service);
    if (current != mShares.end() && !isSettling &&
        aUsedServices.contains(service)) {
      LimitChange(current->second, maxMoved, wanted);
    }
    shares.emplace(service, std::move(wanted));
  }
  mShares = std::move(shares);
}

void PlacementPlan::LimitChange(const PlacementShares& aCurrent,
                                double aMaxMoved,
                                PlacementShares& aWanted) const
{
  const auto ownRegion = mRegionOf.find(mZone);
  if (ownRegion == mRegionOf.end() || aCurrent.mRegionShares.empty()) {
    return;
  }
  // What was placed in evacuated zones, and in regions that have lost all their
  // slots, goes to its new place at once.
  RegionShares from = aCurrent.mRegionShares;
  double kept = 0;
  for (auto& [region, share] : from) {
    const auto before = aCurrent.mOpenParts.find(region);
    const auto after = aWanted.mOpenParts.find(region);
    if (!aWanted.mRegionShares.contains(region)) {
      share = 0;
    } else if (before != aCurrent.mOpenParts.end() &&
               after != aWanted.mOpenParts.end() &&
               after->second < before->second) {
      share *= after->second / before->second;
    }
    kept += share;
  }
  for (const auto& [region, share] : aWanted.mRegionShares) {
    from[region] += (1 - kept) * share;
  }
  auto& shares = aWanted.mRegionShares;
  shares = MoveTowards(from, shares, aMaxMoved);
  // The zone keeps its part of what is placed in the region.
  const double part = aWanted.mRegion > 0 ? aWanted.mZone / aWanted.mRegion : 0;
  aWanted.mRegion = shares[ownRegion->second];
  aWanted.mZone = part * aWanted.mRegion;
}

PlacementShares PlacementPlan::Compute(const TargetTable& aTable,
                                       const ServiceName& aService,
                                       const ZoneDemand& aDemand) const
{
  std::map<ZoneName, double> slots;
  std::map<RegionName, double> openSlots;
  std::map<RegionName, double> allSlots;
  double totalSlots = 0;
  for (const auto& it : aTable.OfService(aService)) {
    allSlots[it->Region()] += it->Record().mSlots;
    if (!aTable.IsEvacuated(it->Record().mZone)) {
      slots[it->Record().mZone] += it->Record().mSlots;
      openSlots[it->Region()] += it->Record().mSlots;
      totalSlots += it->Record().mSlots;
    }
  }
  double measuredDemand = 0;
  for (const auto& [zone, rate] : aDemand) {
    measuredDemand += rate;
  }
  const double zoneCount = double(std::max<size_t>(1, mRegionOf.size()));
  const double meanDemand = measuredDemand > 0 ? measuredDemand / zoneCount : 1;
  const double totalDemand =
    measuredDemand + kAssumedDemandFraction * meanDemand * zoneCount;
  const auto demandFraction = [&](const ZoneName& aZone) {
    const auto it = aDemand.find(aZone);
    const double rate = it == aDemand.end() ? 0 : it->second;
    return (rate + kAssumedDemandFraction * meanDemand) / totalDemand;
  };
  const auto ownRegion = mRegionOf.find(mZone);
  double regionSlots = 0;
  double regionDemand = 0;
  RegionShares weights;
  PlacementShares out;
  for (const auto& [region, all] : allSlots) {
    out.mOpenParts[region] = all > 0 ? openSlots[region] / all : 1;
  }
  for (const auto& [zone, region] : mRegionOf) {
    if (ownRegion != mRegionOf.end() && region == ownRegion->second) {
      regionSlots += slots[zone];
      regionDemand += demandFraction(zone);
      const auto rate = aDemand.find(zone);
      out.mRegionDemand += rate == aDemand.end() ? 0 : rate->second;
    }
    const double slotFraction = totalSlots > 0 ? slots[zone] / totalSlots : 0;
    const double spare = slotFraction - demandFraction(zone);
    out.mSlotWeights[zone] = slotFraction > 0
                               ? std::max(kMinSlotWeight, spare / slotFraction)
                               : kMinSlotWeight;
    if (slots[zone] > 0) {
      weights[region] += slots[zone] * out.mSlotWeights[zone];
    }
  }
  out.mRegion = LocalShare(regionSlots, totalSlots, regionDemand);
  out.mRegionSlots = regionSlots;
  out.mTotalSlots = totalSlots;
  out.mTotalDemand = measuredDemand;
  // A region with too little capacity places objects of all its zones
  // elsewhere.
  out.mZone = std::min(
    out.mRegion, LocalShare(slots[mZone], totalSlots, demandFraction(mZone)));
  if (ownRegion != mRegionOf.end()) {
    out.mRegionShares =
      DistributeOverRegions(ownRegion->second, out.mRegion, std::move(weights));
  }
  return out;
}

const PlacementShares& PlacementPlan::SharesOf(
  const ServiceName& aService) const
{
  static const PlacementShares kDefault;
  const auto it = mShares.find(aService);
  return it == mShares.end() ? kDefault : it->second;
}

} // namespace pollenway
