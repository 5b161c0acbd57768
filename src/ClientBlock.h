#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// Address range of callers and the region nearest to them.
struct ClientBlock
{
  /// CIDR notation, IPv4 or IPv6, for instance "203.0.113.0/24".
  std::string mPrefix;
  RegionName mRegion;

  bool operator==(const ClientBlock&) const = default;
};

} // namespace pollenway
