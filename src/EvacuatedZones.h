#pragma once

#include "Ids.h"
#include "Time.h"

#include <map>
#include <set>
#include <vector>

namespace pollenway {

/// The zones whose evacuation is in force: those that the store has. After a
/// restore, the store may lack the latest ones until the operators have written
/// them again, so those are kept for a time.
class EvacuatedZones
{
public:
  /// Applies a complete listing. `aRestoredAt` is the time at which the store
  /// was restored, the zero time if never; with the first listing after it, the
  /// zones that are missing are kept for `aRecoveryTime` from then on. Returns
  /// the zones that are kept from now on.
  std::vector<ZoneName> OnListing(std::set<ZoneName> aZones,
                                  TimePoint aNow,
                                  TimePoint aRestoredAt,
                                  Duration aRecoveryTime);
  /// Applies a change; one that takes an evacuation back ends it at once.
  void OnChange(const ZoneName& aZone, bool aIsEvacuated);
  /// Ends the evacuations that were kept and have not been written again.
  void Expire(TimePoint aNow);

  /// Returns the zones whose evacuation is in force.
  std::set<ZoneName> InForce() const;

private:
  std::set<ZoneName> mInStore;
  std::map<ZoneName, TimePoint> mKeptUntil;
  TimePoint mRestoredAt{};
};

} // namespace pollenway
