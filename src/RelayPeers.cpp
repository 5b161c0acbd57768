#include "RelayPeers.h"

#include "InstanceTable.h"
#include "RemoteZones.h"

#include <algorithm>

namespace pollenway {

std::vector<RelayCandidate> FindRelayCandidates(const InstanceTable& aInstances,
                                                const RemoteZones& aRemoteZones,
                                                const ZoneName& aZone,
                                                const RegionName& aRegion,
                                                TimePoint aNow)
{
  std::vector<RelayCandidate> out;
  for (const auto* it : aInstances.Live(aNow)) {
    const auto& summary = it->mSummary;
    if (summary.mReady && summary.mReachesTargets) {
      out.push_back({ summary.mCaller, aZone, aRegion, 0 });
    }
  }
  for (const auto* zone : aRemoteZones.LiveZones(aNow)) {
    if (!zone->mReachesTargets || zone->mZone == aZone) {
      continue;
    }
    const int distance = zone->mRegion == aRegion ? 1 : 2;
    for (const auto& it : zone->mCallerEndpoints) {
      out.push_back({ it, zone->mZone, zone->mRegion, distance });
    }
  }
  std::stable_sort(
    out.begin(), out.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mDistance < aOther.mDistance;
    });
  return out;
}

} // namespace pollenway
