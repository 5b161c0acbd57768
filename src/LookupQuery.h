#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// A caller's look-up of the entry instances to connect to.
struct LookupQuery
{
  /// Host that the caller sends in its requests.
  std::string mHost;
  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
