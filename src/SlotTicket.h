#pragma once

#include "Ids.h"

#include <cstdint>

namespace pollenway {

/// Proof that one slot of a target is held. Numbers are never reused by one
/// `SlotTable`.
struct SlotTicket
{
  TargetName mTarget;
  uint64_t mNumber = 0;
};

} // namespace pollenway
