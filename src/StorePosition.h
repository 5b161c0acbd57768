#pragma once

#include "StoreEra.h"

namespace pollenway {

/// A revision of the platform's store. Any position of a later era is after all
/// positions of an earlier one.
struct StorePosition
{
  StoreEra mEra;
  uint64_t mRevision = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mEra, aSelf.mRevision);
  }
  auto operator<=>(const StorePosition&) const = default;
};

} // namespace pollenway
