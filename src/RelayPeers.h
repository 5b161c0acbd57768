#pragma once

#include "Ids.h"
#include "IpEndpoint.h"
#include "Time.h"

#include <vector>

namespace pollenway {

class InstanceTable;
class RemoteZones;

/// Another instance through which requests can be sent to targets.
struct RelayCandidate
{
  /// Endpoint to which callers connect; identifies the instance.
  IpEndpoint mCaller;
  /// Place of the instance, for requests that must stay in certain regions.
  ZoneName mZone;
  RegionName mRegion;
  /// 0 in the own zone, 1 in the own region, 2 elsewhere.
  int mDistance = 0;

  bool operator==(const RelayCandidate&) const = default;
};

/// Returns the ready and live instances that reach targets, nearest first; only
/// some of those of other zones. Empty if the targets can't be reached from
/// anywhere else.
std::vector<RelayCandidate> FindRelayCandidates(const InstanceTable& aInstances,
                                                const RemoteZones& aRemoteZones,
                                                const ZoneName& aZone,
                                                const RegionName& aRegion,
                                                TimePoint aNow);

} // namespace pollenway
