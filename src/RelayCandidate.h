#pragma once

#include "IpEndpoint.h"

namespace pollenway {

/// Another instance that can forward this one's requests.
struct RelayCandidate
{
  /// Endpoint to which callers of that instance connect.
  IpEndpoint mCaller;
  /// 0 in the own zone; higher for farther zones.
  int mDistance = 0;
};

} // namespace pollenway
