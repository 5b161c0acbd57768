#pragma once

#include "Inventory.h"

#include <string>

namespace pollenway {

/// Writes inventories in the form that `InventoryReader` reads.
class InventoryWriter
{
public:
  /// Returns canonical JSON text: fields in a fixed order, defaults included,
  /// indented by two spaces, with a line break at the end. Equal inventories
  /// have equal texts, and reading the text of a valid inventory returns an
  /// equal inventory.
  /// Durations are written in whole milliseconds.
  static std::string Write(const Inventory& aInventory);
};

} // namespace pollenway
