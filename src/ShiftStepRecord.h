#pragma once

#include "Result.h"
#include "ShiftDeclaration.h"

#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Store object `shiftstep/<shift>`: when an operator's command last moved the
/// shift on. It is written before the step itself, so that of two operators
/// one gets a conflict, and a step without a record can't occur.
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

/// What the pace says about the next step.
struct PaceCheck
{
  /// Milliseconds left; 0: the step may be made.
  int64_t mWaitMs = 0;
  /// The time of the last step is unknown, because something other than the
  /// command made it, or the command stopped half-way: the pace counts from
  /// now, and a record of the present share is to be written.
  bool mIsLastStepUnknown = false;
};

/// A clock that was set back counts as no time passed.
PaceCheck CheckPace(const ShiftDeclaration& aShift,
                    const std::optional<ShiftStepRecord>& aRecord,
                    int64_t aNowUnixMs);

} // namespace pollenway
