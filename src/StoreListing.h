#pragma once

#include "StorePosition.h"
#include "StoredObject.h"

#include <vector>

namespace pollenway {

/// All objects of one kind.
struct StoreListing
{
  /// Position from which a watch continues without a gap.
  StorePosition mPosition;
  std::vector<StoredObject> mObjects;
};

} // namespace pollenway
