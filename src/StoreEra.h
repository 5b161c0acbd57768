#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace pollenway {

/// Counts how often the platform's store has been restored from an older copy.
/// Revisions are ordered only within one era, because a restored store gives
/// them out again. 0 if the store does not tell its era.
struct StoreEra
{
  uint64_t mValue = 0;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mValue); }
  auto operator<=>(const StoreEra&) const = default;
};

} // namespace pollenway
