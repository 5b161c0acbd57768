#pragma once

#include "StoredObject.h"

#include <vector>

namespace pollenway {

/// All objects of one kind.
struct StoreListing
{
  /// Revision from which a watch continues without a gap.
  uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
};

} // namespace pollenway
