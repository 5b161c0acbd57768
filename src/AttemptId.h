#pragma once

#include "HomeMember.h"

#include <tuple>

namespace pollenway {

/// Identifies one request of a caller at the instance that received it. That
/// instance runs it at most once, so a home may permit the same attempt again
/// after a lost reply.
struct AttemptId
{
  HomeMember mReceiver;
  uint64_t mNumber = 0;

  auto operator<=>(const AttemptId&) const = default;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mReceiver, aSelf.mNumber);
  }
};

} // namespace pollenway
