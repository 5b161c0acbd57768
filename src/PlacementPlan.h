#pragma once

#include "Ids.h"
#include "TargetTable.h"

#include <map>
#include <unordered_map>

namespace pollenway {

/// Placement of the objects that the callers of one zone request.
struct PlacementShares
{
  /// Share of the objects that have their home among the zone's targets.
  double mZone = 1;
  /// Share of the objects that have their home in the region, including those
  /// of the zone.
  double mRegion = 1;
  /// Weight of a slot for the objects that are placed outside the zone or the
  /// region. Zones with more capacity than their own callers need weigh more.
  std::map<ZoneName, double> mSlotWeights;
  /// Share of the objects that have their home in each region.
  std::map<RegionName, double> mRegionShares;
  /// Values that determined the shares, for the log: slots, and requests per
  /// second as measured.
  double mRegionSlots = 0;
  double mTotalSlots = 0;
  double mRegionDemand = 0;
  double mTotalDemand = 0;
};

/// Determines how near to its callers each object may have its home: in the
/// zone up to the share of the work that the zone's targets can take, then in
/// the region, then anywhere. The plan is computed from the slots and the
/// demand of all zones, which are the same on all instances of a zone.
class PlacementPlan
{
public:
  /// Requests per second for one service, by the zone of the instances that
  /// received them.
  using ZoneDemand = std::map<ZoneName, double>;

  PlacementPlan(ZoneName aZone, std::map<ZoneName, RegionName> aRegionOf);

  void Update(const TargetTable& aTable,
              const std::map<ServiceName, ZoneDemand>& aDemand);
  const PlacementShares& SharesOf(const ServiceName& aService) const;

private:
  PlacementShares Compute(const TargetTable& aTable,
                          const ServiceName& aService,
                          const ZoneDemand& aDemand) const;

  ZoneName mZone;
  std::map<ZoneName, RegionName> mRegionOf;
  std::unordered_map<ServiceName, PlacementShares> mShares;
};

} // namespace pollenway
