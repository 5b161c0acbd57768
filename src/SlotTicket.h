#pragma once

#include "Ids.h"

#include <cstdint>

namespace pollenway {

/// One acquired slot of a target. A `SlotTable` never reuses a number.
struct SlotTicket
{
  TargetName mTarget;
  uint64_t mNumber = 0;
};

} // namespace pollenway
