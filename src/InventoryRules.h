#pragma once

#include "Error.h"
#include "Inventory.h"

#include <vector>

namespace pollenway {

/// Checks the rules that involve more than one field of an inventory. Returns
/// all violations, each with the path of its element. Codes: `Duplicate`
/// (names, zones, digests, addresses, prefixes, overlapping routes),
/// `UnknownReference` (a named element is not declared) and `Conflict`
/// (declarations that contradict each other). Empty names are skipped:
/// `InventoryReader` has already recorded an error for them.
std::vector<Error> CheckInventoryRules(const Inventory& aInventory);

} // namespace pollenway
