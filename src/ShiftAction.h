#pragma once

#include "ShiftDeclaration.h"

#include <cstdint>
#include <string_view>

namespace pollenway {

enum class ShiftActionKind
{
  None,
  Step,
  Pause,
  Finish, ///< The final share has been reached.
};

/// Next action for a traffic shift. All kinds but `None` are a conditional
/// update: `mNext` replaces the declaration if the configuration still has the
/// generation `mExpectedGeneration`.
struct ShiftAction
{
  ShiftActionKind mKind = ShiftActionKind::None;
  uint64_t mExpectedGeneration = 0;
  ShiftDeclaration mNext;
  /// With `None`, what the shift waits for, for instance "pace"; empty
  /// otherwise.
  std::string_view mWaitReason;
};

} // namespace pollenway
