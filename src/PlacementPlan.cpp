#include "PlacementPlan.h"

#include <algorithm>

namespace pollenway {

namespace {

/// How much more than its even part of the work a zone's or region's targets
/// may be given by their own callers. A near home saves a round trip between
/// regions; an overloaded one costs more.
constexpr double kMaxLocalLoadFactor = 1.1;
/// Demand that each zone is assumed to have besides the measured, relative to
/// the mean of all zones. Keeps the plan steady while little is known.
constexpr double kAssumedDemandFraction = 0.25;
/// Least weight of a slot in a zone without spare room, so that a place is
/// found when no zone has any.
constexpr double kMinSlotWeight = 0.05;

double LocalShare(double aSlots, double aTotalSlots, double aDemandFraction)
{
  if (aTotalSlots <= 0 || aDemandFraction <= 0) {
    return 1;
  }
  return std::min(
    1.0, kMaxLocalLoadFactor * (aSlots / aTotalSlots) / aDemandFraction);
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
  const double zones = double(std::max<size_t>(1, mRegionOf.size()));
  const double meanDemand = measuredDemand > 0 ? measuredDemand / zones : 1;
  const double totalDemand =
    measuredDemand + kAssumedDemandFraction * meanDemand * zones;
  const auto demandFraction = [&](const ZoneName& aZone) {
    const auto it = aDemand.find(aZone);
    const double rate = it == aDemand.end() ? 0 : it->second;
    return (rate + kAssumedDemandFraction * meanDemand) / totalDemand;
  };
  const auto ownRegion = mRegionOf.find(mZone);
  double regionSlots = 0;
  double regionDemand = 0;
  PlacementShares out;
  for (const auto& [zone, region] : mRegionOf) {
    if (ownRegion != mRegionOf.end() && region == ownRegion->second) {
      regionSlots += slots[zone];
      regionDemand += demandFraction(zone);
    }
    const double slotFraction = totalSlots > 0 ? slots[zone] / totalSlots : 0;
    const double spare = slotFraction - demandFraction(zone);
    out.mSlotWeights[zone] = slotFraction > 0
                               ? std::max(kMinSlotWeight, spare / slotFraction)
                               : kMinSlotWeight;
  }
  out.mRegion = LocalShare(regionSlots, totalSlots, regionDemand);
  // A region that is short of room sends objects of all its zones away.
  out.mZone = std::min(
    out.mRegion, LocalShare(slots[mZone], totalSlots, demandFraction(mZone)));
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
