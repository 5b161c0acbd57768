#pragma once

#include "Ids.h"

#include <compare>
#include <cstdint>

#include <tuple>

namespace pollenway {

/// An incarnation of an instance that stores idempotency records. A restarted
/// process is a different member because it has lost its records.
struct HomeMember
{
  InstanceName mName;
  uint64_t mIncarnation = 0;

  auto operator<=>(const HomeMember&) const = default;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mName, aSelf.mIncarnation);
  }
};

} // namespace pollenway
