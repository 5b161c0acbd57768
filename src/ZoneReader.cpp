#include "ZoneReader.h"

#include "HashOf.h"

#include <limits>

namespace pollenway {

const InstanceTable::Peer* FindZoneReader(const InstanceTable& aInstances,
                                          const InstanceName& aSelf,
                                          bool aIsSelfReady,
                                          const ZoneName& aZone,
                                          TimePoint aNow)
{
  const InstanceTable::Peer* best = nullptr;
  uint64_t bestHash = aIsSelfReady ? HashOf({ aSelf.Text() })
                                   : std::numeric_limits<uint64_t>::max();
  for (const auto* it : aInstances.Live(aNow)) {
    const auto& summary = it->mSummary;
    if (!summary.mReady || summary.mZone != aZone) {
      continue;
    }
    const uint64_t hash = HashOf({ summary.mName.Text() });
    if (hash < bestHash) {
      best = it;
      bestHash = hash;
    }
  }
  return best;
}

} // namespace pollenway
