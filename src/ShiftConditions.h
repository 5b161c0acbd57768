#pragma once

#include "ShiftDemand.h"

#include <cstdint>
#include <optional>

namespace pollenway {

/// Measurements on which the next step of a traffic shift is decided.
struct ShiftConditions
{
  /// Free share of the destination's capacity (`HeadroomTracker::FreeShare`);
  /// empty without a current measurement.
  std::optional<double> mFreeShare;
  /// Requests completed at the destination since the last evaluation, and the
  /// number of them that failed.
  uint64_t mRequests = 0;
  uint64_t mFailures = 0;
  /// Share of the destination's targets in slow start.
  double mColdShare = 0;
  /// Demand of all callers subject to the shift, moved or not.
  ShiftDemand mDemand;
};

} // namespace pollenway
