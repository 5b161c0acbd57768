#pragma once

#include "StoreChange.h"

#include <vector>

namespace pollenway {

/// Answer of a watch.
struct StoreChanges
{
  /// Where the next watch continues.
  uint64_t mRevision = 0;
  /// In the order of versions; none if the watch timed out.
  std::vector<StoreChange> mChanges;
};

} // namespace pollenway
