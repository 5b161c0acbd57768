#pragma once

#include "Inventory.h"
#include "Result.h"

#include <optional>

namespace pollenway {

/// The changes that operators' commands make to an inventory. Each function
/// returns the changed inventory, an equal one if there is nothing to change,
/// or an error: `NotFound` for an unknown element, `Duplicate` for one that
/// already exists, `InvalidState` if the element's state does not permit the
/// change, and `OutOfRange` for a value above its limit. The generation is not
/// changed.
class InventoryEdit
{
public:
  /// Takes a target or place out of service, or returns it to service (`Live`).
  /// Refuses both for a retired target or place.
  static Result<Inventory> SetTargetState(Inventory aInventory,
                                          const TargetName& aName,
                                          Lifecycle aState);
  static Result<Inventory> SetPlaceState(Inventory aInventory,
                                         const PlaceName& aName,
                                         Lifecycle aState);

  /// Retires a place and its targets permanently. The place must be draining,
  /// so that no new work is interrupted, or already retired, in which case its
  /// successor is replaced. The chain of successors must lead to a place that
  /// is not retired.
  static Result<Inventory> RetirePlace(Inventory aInventory,
                                       const PlaceName& aName,
                                       const PlaceName& aSuccessor);

  /// Adds a shift in state `Running` that has not moved any callers. Replaces a
  /// rolled-back shift of the same name.
  static Result<Inventory> StartShift(Inventory aInventory,
                                      ShiftDeclaration aShift);
  static Result<Inventory> PauseShift(Inventory aInventory,
                                      const ShiftName& aName);
  static Result<Inventory> ResumeShift(Inventory aInventory,
                                       const ShiftName& aName);
  /// Moves all callers back in one step; the step cap applies only to steps
  /// forward.
  static Result<Inventory> RollBackShift(Inventory aInventory,
                                         const ShiftName& aName);

  struct Step
  {
    /// Share of callers to move; the step cap if unset.
    std::optional<double> mShare = std::nullopt;
    /// Requests per second that the source region's callers send to the
    /// service. If unset, the sum of all workspaces' rates, which is an upper
    /// bound.
    std::optional<double> mDemand = std::nullopt;
  };

  /// Moves the callers of the next step. The state becomes `Done` at the final
  /// share. Refuses a step above the step cap, and a step after which the moved
  /// rate (share times demand) would exceed the rate cap. The caller checks the
  /// pace.
  static Result<Inventory> AdvanceShift(Inventory aInventory,
                                        const ShiftName& aName,
                                        const Step& aStep);

  static Result<Inventory> IssueKey(Inventory aInventory, TenantKey aKey);
  static Result<Inventory> WithdrawKey(Inventory aInventory, const KeyId& aKey);
};

/// Returns the shift of that name, or null if there is none.
const ShiftDeclaration* FindShift(const Inventory& aInventory,
                                  const ShiftName& aName);

} // namespace pollenway
