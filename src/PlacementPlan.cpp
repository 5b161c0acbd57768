#include "PlacementPlan.h"

#include <algorithm>

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

double LocalShare(double aSlots, double aTotalSlots, double aDemandFraction)
{
  if (aTotalSlots <= 0 || aDemandFraction <= 0) {
    return 1;
  }
  return std::min(
    1.0, kMaxLocalLoadFactor * (aSlots / aTotalSlots) / aDemandFraction);
}

/// Returns the share of the objects that have their home in each region.
/// `aWeights` are the sums of the slots' weights.
std::map<RegionName, double> RegionShares(const RegionName& aOwnRegion,
                                          double aOwnShare,
                                          std::map<RegionName, double> aWeights)
{
  aWeights.erase(aOwnRegion);
  double sum = 0;
  for (const auto& [region, weight] : aWeights) {
    sum += weight;
  }
  for (auto& [region, weight] : aWeights) {
    weight = sum > 0 ? (1 - aOwnShare) * weight / sum : 0;
  }
  aWeights[aOwnRegion] = sum > 0 ? aOwnShare : 1;
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
                           const std::map<ServiceName, ZoneDemand>& aDemand)
{
  static const ZoneDemand kNoDemand;
  mShares.clear();
  for (const auto& service : aTable.Services()) {
    const auto it = aDemand.find(service);
    mShares.emplace(
      service,
      Compute(aTable, service, it == aDemand.end() ? kNoDemand : it->second));
  }
}

PlacementShares PlacementPlan::Compute(const TargetTable& aTable,
                                       const ServiceName& aService,
                                       const ZoneDemand& aDemand) const
{
  std::map<ZoneName, double> slots;
  double totalSlots = 0;
  for (const auto& it : aTable.OfService(aService)) {
    if (!aTable.IsEvacuated(it->Record().mZone)) {
      slots[it->Record().mZone] += it->Record().mSlots;
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
  std::map<RegionName, double> weights;
  PlacementShares out;
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
    weights[region] += slots[zone] * out.mSlotWeights[zone];
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
      RegionShares(ownRegion->second, out.mRegion, std::move(weights));
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
