#pragma once

#include "Inventory.h"

#include <string>

namespace pollenway {

/// Writes inventories in the form that `InventoryReader` reads.
class InventoryWriter
{
public:
  /// Canonical JSON text: fields in a fixed order, defaults included, indented
  /// by two spaces, with a line break at the end. Equal inventories give equal
  /// texts, and reading the text of a valid inventory gives an equal one.
  /// Durations are written in whole milliseconds.
  static std::string Write(const Inventory& aInventory);
};

} // namespace pollenway
