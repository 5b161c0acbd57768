#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// A caller's question which instances to connect to.
struct LookupQuery
{
  /// Host that the caller will name in its requests.
  std::string mHost;
  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
