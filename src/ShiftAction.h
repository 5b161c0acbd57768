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
  Finish, ///< The final share is reached.
};

/// What to do for a shift. All kinds but `None` are a conditional update: write
/// `mNext` in place of the declaration if the configuration still has the
/// generation `mExpectedGeneration`.
struct ShiftAction
{
  ShiftActionKind mKind = ShiftActionKind::None;
  uint64_t mExpectedGeneration = 0;
  ShiftDeclaration mNext;
  /// Why nothing is to be done, for instance "pace"; empty otherwise.
  std::string_view mWaitReason;
};

} // namespace pollenway
