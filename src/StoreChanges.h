#pragma once

#include "StoreChange.h"
#include "StorePosition.h"

#include <vector>

namespace pollenway {

/// Answer to a watch.
struct StoreChanges
{
  /// Position from which the next watch continues.
  StorePosition mPosition;
  /// Ordered by version; empty if the watch timed out.
  std::vector<StoreChange> mChanges;
};

} // namespace pollenway
