#include "EvacuatedZones.h"

#include <utility>

namespace pollenway {

std::vector<ZoneName> EvacuatedZones::OnListing(std::set<ZoneName> aZones,
                                                TimePoint aNow,
                                                TimePoint aRestoredAt,
                                                Duration aRecoveryTime)
{
  // A later listing of a restored store is its word, as without a restore.
  const bool isRestored =
    std::exchange(mRestoredAt, aRestoredAt) != aRestoredAt;
  const TimePoint keepUntil = aRestoredAt + aRecoveryTime;
  std::vector<ZoneName> kept;
  if (isRestored && keepUntil > aNow) {
    for (const auto& it : InForce()) {
      if (!aZones.contains(it)) {
        mKeptUntil[it] = keepUntil;
        kept.push_back(it);
      }
    }
  }
  mInStore = std::move(aZones);
  for (const auto& it : mInStore) {
    mKeptUntil.erase(it);
  }
  return kept;
}

void EvacuatedZones::OnChange(const ZoneName& aZone, bool aIsEvacuated)
{
  mKeptUntil.erase(aZone);
  if (aIsEvacuated) {
    mInStore.insert(aZone);
  } else {
    mInStore.erase(aZone);
  }
}

void EvacuatedZones::Expire(TimePoint aNow)
{
  std::erase_if(mKeptUntil,
                [&](const auto& aKept) { return aKept.second <= aNow; });
}

std::set<ZoneName> EvacuatedZones::InForce() const
{
  std::set<ZoneName> out = mInStore;
  for (const auto& [zone, until] : mKeptUntil) {
    out.insert(zone);
  }
  return out;
}

} // namespace pollenway
