#pragma once

#include "AdminClient.h"
#include "ObjectStore.h"
#include "ZoneView.h"

#include <map>

namespace pollenway {

/// The instances as the store and the platform know them.
struct FleetView
{
  /// Readable zone views, by name.
  std::vector<ZoneView> mZones;
  /// Zones whose view can't be read, each with an error below.
  std::vector<ZoneName> mUnreadableZones;
  /// States of the platform's list, which lags behind, by name.
  std::map<std::string, std::string> mPlatformStates;
  std::vector<Error> mErrors;

  const ZoneView* Find(const ZoneName& aZone) const;
  /// The platform's state of an instance, or "unlisted".
  std::string StateOf(const InstanceName& aName) const;
  /// The zone of the member with that address; empty if there is none.
  ZoneName ZoneOf(const std::string& aAddress) const;
};

/// `StoreUnavailable` without an answer.
Awaitable<Result<FleetView>> ReadFleetView(ObjectStore& aStore);

} // namespace pollenway
