#pragma once

#include "Ids.h"

#include <string_view>

namespace pollenway {

/// Reason for which a target can or can't be selected.
enum class TargetReason
{
  Usable,
  NoRoom,            ///< All slots are occupied; a request would wait.
  ReportedUnhealthy, ///< Health probe failed; no recent request succeeded.
  Ejected,           ///< This instance observed failures or high latency.
  Excluded,          ///< Already tried for the same request.
  ReportedDraining,
  NotLive, ///< Declared as draining or retired.
};

/// Returns the name of the reason for `explain`, such as "usable" or "no-room".
std::string_view Name(TargetReason aReason);

/// A target's entry in the explanation of a selection.
struct TargetAssessment
{
  TargetName mName;
  TargetReason mReason = TargetReason::Usable;
  /// Order of preference: 0 own zone, 1 own region, above 1 others by latency.
  double mTier = 0;
  /// Estimated number of requests at the target, relative to its slots times
  /// `mWarmUpFraction`.
  double mRelativeLoad = 0;
  /// Fraction of the slots that is used during slow start; 1 when warm.
  double mWarmUpFraction = 1;
};

} // namespace pollenway
