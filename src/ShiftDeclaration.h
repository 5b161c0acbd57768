#pragma once

#include "Ids.h"
#include "Time.h"

#include <string>

namespace pollenway {

enum class ShiftState
{
  Running,
  Paused,
  RolledBack, ///< All callers are back on the source.
  Done,       ///< All callers up to the final share are on the destination.
};

/// Planned move of a service's callers from one region to another.
struct ShiftDeclaration
{
  ShiftName mName;
  ServiceName mService;
  RegionName mFrom;
  RegionName mTo;
  /// Share of callers moved so far, in [0, mFinalShare].
  double mShare = 0;
  /// Maximum share of callers that one step may move.
  double mStepCap = 0.1;
  /// Maximum rate that the shift may move in total, in requests per second.
  double mRateCap = 0;
  double mFinalShare = 1;
  /// Minimum time between steps.
  Duration mPace = std::chrono::seconds(30);
  /// Stop condition: the share of failed requests at the destination exceeds
  /// this.
  double mMaxErrorShare = 0.02;
  /// Stop condition: the free share of the destination's capacity falls below
  /// this.
  double mMinHeadroom = 0.1;
  ShiftState mState = ShiftState::Paused;
  /// Reason for the pause; empty if an operator paused the shift.
  std::string mReason;

  bool operator==(const ShiftDeclaration&) const = default;
};

} // namespace pollenway
