#pragma once

#include "Ids.h"
#include "IpEndpoint.h"

namespace pollenway {

/// An instance that exchanges digests with other zones on behalf of its zone.
struct ZoneDelegate
{
  InstanceName mName;
  /// Endpoint at which it receives digests.
  IpEndpoint mPeer;

  bool operator==(const ZoneDelegate&) const = default;
};

} // namespace pollenway
