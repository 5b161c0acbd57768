#pragma once

#include "Inventory.h"
#include "Validated.h"

#include <string_view>

namespace pollenway {

/// Reads the operators' JSON declaration. See examples/ for two complete ones.
class InventoryReader
{
public:
  /// Returns the inventory if all fields are valid and no rule is violated,
  /// otherwise all errors. Each error has a code of the 100 group and a path
  /// such as "/targets/3/slots" ("/" for the whole text).
  static Validated<Inventory> Read(std::string_view aText);
};

} // namespace pollenway
