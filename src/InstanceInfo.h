#pragma once

#include "Ids.h"

#include <cstdint>
#include <string>

namespace pollenway {

/// One incarnation of an entry instance, as known to its peers.
struct InstanceInfo
{
  InstanceName mName;
  /// Differs for each start of the process.
  uint64_t mIncarnation = 0;
  ZoneName mZone;
  /// IP address in text form.
  std::string mAddress;
  uint16_t mCallerPort = 0;
  uint16_t mPeerPort = 0;
  uint16_t mRelayPort = 0;
  /// True if the instance receives no new callers and owns nothing.
  bool mLeaving = false;

  bool operator==(const InstanceInfo&) const = default;
};

} // namespace pollenway
