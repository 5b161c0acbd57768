#pragma once

#include "Ids.h"
#include "Lifecycle.h"

#include <cstdint>
#include <string>

namespace pollenway {

/// A service's endpoint on a backend server.
struct Target
{
  TargetName mName;
  ServiceName mService;
  PlaceName mPlace;
  /// IP address in text form.
  std::string mAddress;
  uint16_t mPort = 0;
  /// Maximum number of concurrent requests from all instances together.
  unsigned mSlots = 1;
  /// Maximum number of open connections from all instances together.
  unsigned mConnections = 650;
  Lifecycle mState = Lifecycle::Live;

  bool operator==(const Target&) const = default;
};

} // namespace pollenway
