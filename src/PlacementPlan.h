#pragma once

#include "Ids.h"
#include "RegionShares.h"
#include "TargetTable.h"
#include "Time.h"

#include <map>
#include <optional>
#include <set>
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
  /// Weight of a slot for the objects that are placed outside the zone, among
  /// the zones of the object's home region. Zones with more capacity than their
  /// own callers need weigh more.
  std::map<ZoneName, double> mSlotWeights;
  /// Share of the objects that have their home in each region. Empty if all
  /// regions count by their slots.
  RegionShares mRegionShares;
  /// Part of each region's slots that is not in evacuated zones.
  std::map<RegionName, double> mOpenParts;
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
///
/// The shares of the regions change at a limited rate, however fast the demand
/// or the slots change: each instance applies a change that all of them measure
/// in the same moment. Only evacuated zones and regions without any slots are
/// left at once. An instance that has not yet sent requests to a service begins
/// with the shares that the others move towards, so that for a time its objects
/// may have other homes than theirs.
class PlacementPlan
{
public:
  /// Requests per second for one service, by the zone of the instances that
  /// received them.
  using ZoneDemand = std::map<ZoneName, double>;

  PlacementPlan(ZoneName aZone, std::map<ZoneName, RegionName> aRegionOf);

  /// Computes the plan. The shares of services in `aUsedServices`, to which
  /// this instance has sent requests, change at the limited rate.
  void Update(const TargetTable& aTable,
              const std::map<ServiceName, ZoneDemand>& aDemand,
              const std::set<ServiceName>& aUsedServices,
              TimePoint aNow);
  const PlacementShares& SharesOf(const ServiceName& aService) const;

private:
  PlacementShares Compute(const TargetTable& aTable,
                          const ServiceName& aService,
                          const ZoneDemand& aDemand) const;
  /// Replaces the region shares of `aWanted` by those between `aCurrent` and
  /// them at which at most `aMaxMoved` of the requests change their region.
  void LimitChange(const PlacementShares& aCurrent,
                   double aMaxMoved,
                   PlacementShares& aWanted) const;

  ZoneName mZone;
  std::map<ZoneName, RegionName> mRegionOf;
  std::unordered_map<ServiceName, PlacementShares> mShares;
  TimePoint mUpdatedAt{};
  std::optional<TimePoint> mFirstUpdateAt;
};

} // namespace pollenway
