#pragma once

#include "Result.h"
#include "ShiftDeclaration.h"

#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Store object `shiftstep/<shift>`: the time of the last step made by an
/// operator's command. It is written before the step itself, so that one of two
/// concurrent operators gets a conflict, and no step is made without a record.
struct ShiftStepRecord
{
  /// The shift's share after the step.
  double mShare = 0;
  /// Milliseconds since 1970, by the clock of the operator's machine.
  int64_t mUnixMs = 0;

  std::string ToJson() const;
  /// Errors: SyntaxError, WrongType.
  static Result<ShiftStepRecord> Parse(std::string_view aText);
};

/// Result of checking the pace before the next step.
struct PaceCheck
{
  /// Milliseconds until the next step is allowed; 0 if it is allowed now.
  int64_t mWaitMs = 0;
  /// True if the time of the last step is unknown, because it was not made by
  /// the command or the command was interrupted. The pace then counts from now,
  /// and the caller must write a record of the current share.
  bool mIsLastStepUnknown = false;
};

/// Returns the time until the next step. If the clock was set back, no time
/// counts as elapsed.
PaceCheck CheckPace(const ShiftDeclaration& aShift,
                    const std::optional<ShiftStepRecord>& aRecord,
                    int64_t aNowUnixMs);

} // namespace pollenway
