#pragma once

#include "IpEndpoint.h"

#include <vector>

namespace pollenway {

/// An instance that a look-up could name.
struct ListedInstance
{
  IpEndpoint mEndpoint;
  /// 0 in the callers' zone, 1 in their region, 2 elsewhere.
  int mDistance = 0;
  bool mReachesTargets = true;
};

/// Returns the instances to name to callers: those of the zone, with those of
/// its region if there are too few, or all others if there is none. Instances
/// of the zone and the region that don't reach targets are named only if none
/// of them does; callers are not moved to other regions because of that.
std::vector<IpEndpoint> ChooseListedInstances(
  const std::vector<ListedInstance>& aCandidates);

} // namespace pollenway
