#pragma once

#include "Inventory.h"
#include "Validated.h"

#include <string_view>

namespace pollenway {

/// Reads the operators' JSON declaration; examples/ has two complete ones.
class InventoryReader
{
public:
  /// Returns the inventory if every field and rule holds; otherwise all
  /// errors, each with a code of the 100 group and a path such as
  /// "/targets/3/slots" ("/" for the text as a whole).
  static Validated<Inventory> Read(std::string_view aText);
};

} // namespace pollenway
