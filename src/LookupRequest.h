#pragma once

#include "Ids.h"
#include "IpAddress.h"

namespace pollenway {

struct LookupRequest
{
  IpAddress mClient;
  ServiceName mService;
  /// Empty if the caller's workspace is not known.
  WorkspaceName mWorkspace;
};

} // namespace pollenway
