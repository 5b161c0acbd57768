#pragma once

#include "Ids.h"

namespace pollenway {

/// Link between two regions with limited bandwidth; the limit applies to each
/// direction separately.
struct RegionLink
{
  RegionName mFrom;
  RegionName mTo;
  double mBitsPerSecond = 0;
  /// One-way latency in milliseconds; regions are ordered by it.
  double mLatencyMs = 0;

  bool operator==(const RegionLink&) const = default;
};

} // namespace pollenway
