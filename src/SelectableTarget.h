#pragma once

#include "Ids.h"
#include "Lifecycle.h"

namespace pollenway {

/// A target as known to the instance that selects one for a received request.
struct SelectableTarget
{
  TargetName mName;
  ZoneName mZone;
  RegionName mRegion;
  /// One-way latency from the receiving instance's region, in milliseconds.
  double mLatencyMs = 0;
  unsigned mSlots = 1;
  Lifecycle mState = Lifecycle::Live;
};

} // namespace pollenway
