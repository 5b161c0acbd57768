#pragma once

#include "HomeMember.h"

namespace pollenway {

/// One request of a caller as received by one instance. That instance runs it
/// at most once, so a home may permit the same attempt again after a lost
/// reply.
struct AttemptId
{
  HomeMember mReceiver;
  uint64_t mNumber = 0;

  auto operator<=>(const AttemptId&) const = default;
};

} // namespace pollenway
