#pragma once

#include "Ids.h"

#include <string_view>

namespace pollenway {

/// Why a target can or can't be selected.
enum class TargetReason
{
  Usable,
  NoRoom,            ///< As many requests as slots; a request would wait.
  ReportedUnhealthy, ///< Its health probe failed; nothing newer was observed.
  Ejected,           ///< Failed or was slow for this instance.
  Excluded,          ///< Tried before by the same request.
  ReportedDraining,
  NotLive, ///< Declared as draining or retired.
};

/// "usable", "no-room" and so on, for `explain`.
std::string_view Name(TargetReason aReason);

/// One line of the explanation of a selection.
struct TargetAssessment
{
  TargetName mName;
  TargetReason mReason = TargetReason::Usable;
  /// Order of preference: 0 own zone, 1 own region, above 1 others by latency.
  double mTier = 0;
  /// Estimated requests at the target relative to its slots, which count less
  /// during slow start.
  double mRelativeLoad = 0;
  /// Slow start: the part of the slots that counts, 1 when warm.
  double mWarmUpFraction = 1;
};

} // namespace pollenway
