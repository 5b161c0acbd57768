#pragma once

#include "Ids.h"

#include <vector>

namespace pollenway {

/// Region and its availability zones.
struct Region
{
  RegionName mName;
  std::vector<ZoneName> mZones;
  /// Maximum rate in requests per second that may be assigned to the region.
  double mCapacity = 0;

  bool operator==(const Region&) const = default;
};

} // namespace pollenway
