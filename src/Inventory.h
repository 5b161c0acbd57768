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

/// The complete configuration that operators declare: the inventory of the
/// asset register, workspaces, keys and rules. Read by `InventoryReader`.
class Inventory
{
public:
  /// Number of the accepted configuration; each change increases it by one.
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

  // Return the element of that name, or null if there is none.
  const Region* FindRegion(const RegionName& aName) const;
  const Place* FindPlace(const PlaceName& aName) const;
  const Service* FindService(const ServiceName& aName) const;
  const Target* FindTarget(const TargetName& aName) const;
  const Workspace* FindWorkspace(const WorkspaceName& aName) const;

  /// Returns the region of a zone, or null if no region contains it.
  const Region* RegionOfZone(const ZoneName& aZone) const;

  /// Returns the place itself, or the first place in its chain of successors
  /// that is not retired. Returns null if the chain ends or is circular.
  const Place* ResolvePlace(const PlaceName& aName) const;

  /// A route and its service; null pointers if no route matched.
  struct RouteMatch
  {
    const Service* mService = nullptr;
    const Route* mRoute = nullptr;
  };
  /// Returns the route with the longest matching path prefix. A prefix matches
  /// whole path segments: "/stock" matches "/stock", "/stock/7" and
  /// "/stock?id=7", but not "/stocktake". `aPath` may contain a query. A path
  /// with a "." or ".." segment, also percent-encoded, matches no route: a
  /// backend server that resolves the segment could run another route's request
  /// without that route's access check.
  RouteMatch MatchRoute(std::string_view aMethod, std::string_view aPath) const;

  /// Returns the one-way latency between two regions in milliseconds: 0 within
  /// a region, a large number if no link connects them.
  double LatencyMs(const RegionName& aFrom, const RegionName& aTo) const;
};

} // namespace pollenway
