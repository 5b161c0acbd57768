#pragma once

#include "StoreChange.h"

#include <vector>

namespace pollenway {

/// Answer to a watch.
struct StoreChanges
{
  /// Revision from which the next watch continues.
  uint64_t mRevision = 0;
  /// Ordered by version; empty if the watch timed out.
  std::vector<StoreChange> mChanges;
};

} // namespace pollenway
