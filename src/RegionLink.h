#pragma once

#include "Ids.h"

namespace pollenway {

/// The capped link between two regions; each direction has the full rate.
struct RegionLink
{
  RegionName mFrom;
  RegionName mTo;
  double mBitsPerSecond = 0;
  /// One-way latency in milliseconds, which orders regions by distance.
  double mLatencyMs = 0;

  bool operator==(const RegionLink&) const = default;
};

} // namespace pollenway
