#pragma once

#include "AdminClient.h"
#include "ObjectStore.h"
#include "ZoneView.h"

#include <map>

namespace pollenway {

/// Instances listed in the store and by the platform.
struct FleetView
{
  /// Readable zone views, by name.
  std::vector<ZoneView> mZones;
  /// Zones whose view is invalid, each with an entry in `mErrors`.
  std::vector<ZoneName> mUnreadableZones;
  /// Instance states by name, from the platform's list. The list lags behind.
  std::map<std::string, std::string> mPlatformStates;
  std::vector<Error> mErrors;

  const ZoneView* Find(const ZoneName& aZone) const;
  /// Returns the platform's state of an instance, or "unlisted".
  std::string StateOf(const InstanceName& aName) const;
  /// Returns the zone of the member with that address; empty if there is none.
  ZoneName ZoneOf(const std::string& aAddress) const;
};

/// Reads all zone views and the platform's list. Fails with `StoreUnavailable`
/// if there is no answer.
Awaitable<Result<FleetView>> ReadFleetView(ObjectStore& aStore);

} // namespace pollenway
