#pragma once

#include "Ids.h"
#include "TargetTable.h"

#include <map>
#include <unordered_map>

namespace pollenway {

/// Where the objects that one zone's callers ask for are placed.
struct PlacementShares
{
  /// Share of the objects with their home among the zone's targets.
  double mZone = 1;
  /// Share with their home in the region, those of the zone included.
  double mRegion = 1;
  /// Weight of a slot for the objects that leave the zone or the region. Zones
  /// with room beyond their own callers weigh more.
  std::map<ZoneName, double> mSlotWeights;
};

/// Decides how near to its callers each object may have its home: in the zone
/// while the zone's targets have their part of the work, then in the region,
/// then anywhere. Computed from the slots and the demand of all zones, which
/// all instances of a zone see alike.
class PlacementPlan
{
public:
  /// Requests per second for one service by the zone of the instances that
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
