#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// Look-up by a caller of the instances to connect to.
struct LookupQuery
{
  /// Host that the caller sends in its requests.
  std::string mHost;
  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
