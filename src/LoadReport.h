#pragma once

#include "Ids.h"
#include "Time.h"

namespace pollenway {

/// One source's measurement of the whole load of a zone.
struct LoadReport
{
  /// Who measured it; this instance's own name for its own count.
  InstanceName mReporter;
  ZoneName mZone;
  /// Requests per second.
  double mRate = 0;
  /// When it was measured, on the receiver's clock: arrival less stated age.
  TimePoint mMeasuredAt;
};

} // namespace pollenway
