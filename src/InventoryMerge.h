#pragma once

#include "Inventory.h"
#include "Validated.h"

namespace pollenway {

/// Combines the operators' file with the configuration in force. The file is
/// the whole declaration, except for what commands and the fleet change:
///
/// - The state of a place or target only moves forward (live, draining,
///   retired); `InventoryEdit` brings one back into service. A retired place
///   keeps its successor unless the file names another.
/// - A withdrawn key stays withdrawn.
/// - A shift keeps its share, state and reason. While it has callers moved, its
///   service and regions can't change.
/// - Keys and shifts that the file doesn't list stay. A file is often older
///   than the keys issued since, and removing a shift moves all its callers
///   back in one step. `Prune` removes keys, and shifts without moved callers.
///   Keys of a workspace that the file no longer has are always removed.
/// - A shift that is new may have moved one step at most.
class InventoryMerge
{
public:
  enum class Unlisted
  {
    Keep,
    Prune,
  };

  /// The merged inventory with the generation of `aCurrent`, or all errors:
  /// `InvalidState`, `OutOfRange`, or the 100 group as from `InventoryReader`.
  static Validated<Inventory> Merge(const Inventory& aCurrent,
                                    Inventory aFile,
                                    Unlisted aUnlisted);
};

} // namespace pollenway
