#pragma once

#include "Inventory.h"
#include "InventoryChange.h"

#include <string>
#include <vector>

namespace pollenway {

/// Compares inventories, so that operators can review a change before they
/// apply it.
class InventoryDiff
{
public:
  /// Returns the changes that turn `aOld` into `aNew`, sorted by element kind
  /// and then by name. The order of elements and the generation are ignored.
  static std::vector<InventoryChange> Compare(const Inventory& aOld,
                                              const Inventory& aNew);

  /// Returns one line for each change, for instance
  /// "~ workspace corner-dairy: rate 5 -> 10". "+" marks an added and "-" a
  /// removed element. Returns an empty text if there are no changes.
  static std::string Render(const std::vector<InventoryChange>& aChanges);
};

} // namespace pollenway
