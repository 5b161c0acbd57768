#pragma once

#include "ClientBlock.h"
#include "Ids.h"
#include "Place.h"
#include "Region.h"
#include "RegionLink.h"
#include "Service.h"
#include "ShiftDeclaration.h"
#include "Target.h"
#include "TenantKey.h"
#include "Workspace.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace pollenway {

/// The whole configuration that operators declare: the asset register's
/// inventory, workspaces, keys and rules. Read by `InventoryReader`.
class Inventory
{
public:
  /// Number of the accepted configuration; grows by one with each change.
  uint64_t mGeneration = 0;
  std::vector<Region> mRegions;
  std::vector<RegionLink> mLinks;
  std::vector<Place> mPlaces;
  std::vector<Service> mServices;
  std::vector<Target> mTargets;
  std::vector<Workspace> mWorkspaces;
  std::vector<TenantKey> mKeys;
  std::vector<ClientBlock> mClientBlocks;
  std::vector<ShiftDeclaration> mShifts;

  bool operator==(const Inventory&) const = default;

  // Look-ups by name; null if there is no such element.
  const Region* FindRegion(const RegionName& aName) const;
  const Place* FindPlace(const PlaceName& aName) const;
  const Service* FindService(const ServiceName& aName) const;
  const Target* FindTarget(const TargetName& aName) const;
  const Workspace* FindWorkspace(const WorkspaceName& aName) const;

  /// The region of a zone; null if no region has it.
  const Region* RegionOfZone(const ZoneName& aZone) const;

  /// Follows successors of a retired place to a place that is not retired.
  /// Returns null if the chain ends or is circular.
  const Place* ResolvePlace(const PlaceName& aName) const;

  /// The service and route with the longest path prefix that matches; nulls
  /// if none does. A prefix matches whole path segments: "/stock" matches
  /// "/stock", "/stock/7" and "/stock?id=7", not "/stocktake". `aPath` may
  /// carry a query. A path with a "." or ".." segment, also percent-encoded,
  /// matches nothing: a backend server that resolves it could run another
  /// route's request without that route's access check.
  struct RouteMatch
  {
    const Service* mService = nullptr;
    const Route* mRoute = nullptr;
  };
  RouteMatch MatchRoute(std::string_view aMethod, std::string_view aPath) const;

  /// One-way latency between two regions in milliseconds; 0 within a region, a
  /// large number if no link joins them.
  double LatencyMs(const RegionName& aFrom, const RegionName& aTo) const;
};

} // namespace pollenway
