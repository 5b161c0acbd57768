#pragma once

#include "Inventory.h"
#include "InventoryChange.h"

#include <string>
#include <vector>

namespace pollenway {

/// Compares inventories, so that operators see what they are about to apply.
class InventoryDiff
{
public:
  /// The changes that lead from one inventory to the other, by element kind
  /// and then by name. The order of elements and the generation don't count.
  static std::vector<InventoryChange> Compare(const Inventory& aOld,
                                              const Inventory& aNew);

  /// One line for each change, for instance
  /// "~ workspace corner-dairy: rate 5 -> 10"; "+" marks an added and "-" a
  /// removed element. Empty if there are no changes.
  static std::string Render(const std::vector<InventoryChange>& aChanges);
};

} // namespace pollenway
