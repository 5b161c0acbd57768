#include "ListedInstances.h"

#include <algorithm>

namespace pollenway {

namespace {

/// If the zone has fewer instances to name than this, those of the region are
/// added: the failure of a single instance would leave the callers without any.
constexpr size_t kMinListedInstances = 2;
/// The same if they are less than this fraction of the zone's ready ones, since
/// they would get the callers of all others.
constexpr size_t kMinZoneDivisor = 3;
constexpr size_t kMaxListedInstances = 64;
constexpr int kElsewhere = 2;

} // namespace

std::vector<IpEndpoint> ChooseListedInstances(
  const std::vector<ListedInstance>& aCandidates)
{
  const auto reachesTargets = [&](bool aIsElsewhere) {
    return std::any_of(
      aCandidates.begin(), aCandidates.end(), [&](const auto& aIt) {
        return (aIt.mDistance == kElsewhere) == aIsElsewhere &&
               aIt.mReachesTargets;
      });
  };
  const bool nearReach = reachesTargets(false);
  const bool otherReach = reachesTargets(true);
  const auto zoneSize = size_t(
    std::count_if(aCandidates.begin(), aCandidates.end(), [](const auto& aIt) {
      return aIt.mDistance == 0;
    }));
  const size_t minListed = std::max(
    kMinListedInstances, (zoneSize + kMinZoneDivisor - 1) / kMinZoneDivisor);
  std::vector<IpEndpoint> out;
  for (int distance = 0; distance <= kElsewhere; ++distance) {
    const bool isElsewhere = distance == kElsewhere;
    if (out.size() >= minListed || (isElsewhere && !out.empty())) {
      break;
    }
    const bool mustReach = isElsewhere ? otherReach : nearReach;
    for (const auto& it : aCandidates) {
      if (it.mDistance == distance && (it.mReachesTargets || !mustReach) &&
          out.size() < kMaxListedInstances) {
        out.push_back(it.mEndpoint);
      }
    }
  }
  return out;
}

} // namespace pollenway
