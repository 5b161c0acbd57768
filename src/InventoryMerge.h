#pragma once

#include "Inventory.h"
#include "Validated.h"

namespace pollenway {

/// Combines the operators' file with the current configuration. The file
/// declares the complete configuration, except for what commands and the fleet
/// change:
///
/// - The state of a place or target only moves forward (live, draining,
///   retired); only `InventoryEdit` returns one to service. A retired place
///   keeps its successor unless the file names another.
/// - A withdrawn key stays withdrawn.
/// - A shift keeps its share, state and reason. Its service and regions cannot
///   change while its share is above 0.
/// - Keys and shifts that the file does not list are kept: keys are often
///   issued after the file was written, and removing a shift moves all its
///   callers back in one step. With `Prune`, unlisted keys are removed, and so
///   are unlisted shifts that have not moved any callers. Unlisted keys of a
///   workspace that the file no longer declares are always removed.
/// - The share of a new shift must not exceed its step cap.
class InventoryMerge
{
public:
  enum class Unlisted
  {
    Keep,
    Prune,
  };

  /// Returns the merged inventory with the generation of `aCurrent`, or all
  /// errors: `InvalidState`, `OutOfRange`, or a code of the 100 group as from
  /// `InventoryReader`.
  static Validated<Inventory> Merge(const Inventory& aCurrent,
                                    Inventory aFile,
                                    Unlisted aUnlisted);
};

} // namespace pollenway
