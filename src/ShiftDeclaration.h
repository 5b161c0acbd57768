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

/// A planned move of callers of a service from one region to another.
struct ShiftDeclaration
{
  ShiftName mName;
  ServiceName mService;
  RegionName mFrom;
  RegionName mTo;
  /// Share of callers moved so far, in [0, mFinalShare].
  double mShare = 0;
  /// Largest share of callers that one step may move.
  double mStepCap = 0.1;
  /// Largest rate that the shift may move in all, in requests per second.
  double mRateCap = 0;
  double mFinalShare = 1;
  /// Shortest time between steps.
  Duration mPace = std::chrono::seconds(30);
  /// Stop condition: share of failed requests at the destination.
  double mMaxErrorShare = 0.02;
  /// Stop condition: share of the destination's capacity kept free.
  double mMinHeadroom = 0.1;
  ShiftState mState = ShiftState::Paused;
  /// Why it is paused; empty if an operator paused it.
  std::string mReason;

  bool operator==(const ShiftDeclaration&) const = default;
};

} // namespace pollenway
