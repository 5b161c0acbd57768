#include "ZoneSum.h"

#include <map>

namespace pollenway {

FleetDigest SumZone(const InstanceSummary& aSelf,
                    const InstanceTable& aOthers,
                    const std::vector<ZoneDelegate>& aDelegates,
                    TimePoint aNow)
{
  ZoneStatus status;
  status.mZone = aSelf.mZone;
  status.mRegion = aSelf.mRegion;
  status.mKnown = unsigned(aOthers.CountKnown() + 1);
  status.mReachable = 1;
  status.mReachesTargets = false;
  status.mDelegates = aDelegates;
  std::map<ServiceName, double> rates;
  const auto add = [&](const InstanceSummary& aSummary) {
    for (const auto& it : aSummary.mServiceRates) {
      rates[it.mService] += it.mRate;
    }
    if (!aSummary.mReady) {
      return;
    }
    if (aSummary.mReachesTargets && !status.mReachesTargets) {
      status.mReachesTargets = true;
      status.mCallerEndpoints.clear();
    }
    if (aSummary.mReachesTargets == status.mReachesTargets &&
        status.mCallerEndpoints.size() < kMaxCallerEndpoints) {
      status.mCallerEndpoints.push_back(aSummary.mCaller);
    }
  };
  add(aSelf);
  for (const auto* peer : aOthers.Live(aNow)) {
    status.mReachable += aOthers.IsFresh(*peer, aNow) ? 1 : 0;
    add(peer->mSummary);
  }
  for (const auto& [service, rate] : rates) {
    status.mServiceRates.push_back({ service, rate });
  }
  FleetDigest out;
  out.mScope = DigestScope::Zone;
  out.mConfigurationPosition = aSelf.mConfigurationPosition;
  out.mTargetPosition = aSelf.mTargetPosition;
  out.mEvacuationPosition = aSelf.mEvacuationPosition;
  out.mZones.push_back(std::move(status));
  return out;
}

} // namespace pollenway
