#pragma once

#include "Ids.h"
#include "Time.h"

namespace pollenway {

/// One instance's measurement of the total load of a zone.
struct LoadReport
{
  /// Instance that measured it; this instance's own name for its own count.
  InstanceName mReporter;
  ZoneName mZone;
  /// Requests per second.
  double mRate = 0;
  /// Time of the measurement on the receiver's clock: time of receipt minus the
  /// stated age.
  TimePoint mMeasuredAt;
};

} // namespace pollenway
