#pragma once

#include "ShiftDemand.h"

#include <cstdint>
#include <optional>

namespace pollenway {

/// What is known of a shift's destination when a step is considered.
struct ShiftConditions
{
  /// Free share of the destination's capacity; none without a current
  /// measurement (`HeadroomTracker::FreeShare`).
  std::optional<double> mFreeShare;
  /// Requests that ended at the destination since the last evaluation, and
  /// those of them that failed.
  uint64_t mRequests = 0;
  uint64_t mFailures = 0;
  /// Share of the destination's targets in slow start.
  double mColdShare = 0;
  /// Demand of the callers that the shift is about, on either side.
  ShiftDemand mDemand;
};

} // namespace pollenway
