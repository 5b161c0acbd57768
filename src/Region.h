#pragma once

#include "Ids.h"

#include <vector>

namespace pollenway {

/// A region and its availability zones.
struct Region
{
  RegionName mName;
  std::vector<ZoneName> mZones;
  /// Requests per second that the region may be given.
  double mCapacity = 0;

  bool operator==(const Region&) const = default;
};

} // namespace pollenway
