#pragma once

#include "Inventory.h"
#include "Result.h"

#include <optional>

namespace pollenway {

/// The changes that operators' commands make to an inventory. Each returns the
/// changed inventory, an equal one if there is nothing to change, or an error:
/// `NotFound` for an unknown element, `Duplicate` for one that exists already,
/// `InvalidState` if the element's state doesn't permit the change, and
/// `OutOfRange` for a value above its limit. The generation is left alone.
class InventoryEdit
{
public:
  /// Takes a target or place out of service, or back in (`Live`). A retired
  /// one can be neither.
  static Result<Inventory> SetTargetState(Inventory aInventory,
                                          const TargetName& aName,
                                          Lifecycle aState);
  static Result<Inventory> SetPlaceState(Inventory aInventory,
                                         const PlaceName& aName,
                                         Lifecycle aState);

  /// Retires a place and its targets for good. It must be draining, so that no
  /// new work is interrupted, or retired already: then it gets another
  /// successor. The successor must lead to a place that is not retired.
  static Result<Inventory> RetirePlace(Inventory aInventory,
                                       const PlaceName& aName,
                                       const PlaceName& aSuccessor);

  /// Adds a shift, running and with no callers moved. A rolled-back shift of
  /// the same name is replaced.
  static Result<Inventory> StartShift(Inventory aInventory,
                                      ShiftDeclaration aShift);
  static Result<Inventory> PauseShift(Inventory aInventory,
                                      const ShiftName& aName);
  static Result<Inventory> ResumeShift(Inventory aInventory,
                                       const ShiftName& aName);
  /// Moves all callers back at once: the cap limits steps forward only.
  static Result<Inventory> RollBackShift(Inventory aInventory,
                                         const ShiftName& aName);

  struct Step
  {
    /// Share of callers to move; unset: the step cap.
    std::optional<double> mShare = std::nullopt;
    /// Requests per second of the service from the source region's callers;
    /// unset: the sum of all workspaces' rates, which bounds it from above.
    std::optional<double> mDemand = std::nullopt;
  };

  /// Moves the next step's callers; `Done` at the final share. Refuses a step
  /// above the step cap and one after which the moved rate, taken as share
  /// times demand, exceeds the rate cap. The caller checks the pace.
  static Result<Inventory> AdvanceShift(Inventory aInventory,
                                        const ShiftName& aName,
                                        const Step& aStep);

  /// Adds a key's record.
  static Result<Inventory> IssueKey(Inventory aInventory, TenantKey aKey);
  static Result<Inventory> WithdrawKey(Inventory aInventory, const KeyId& aKey);
};

/// The shift of that name, or null.
const ShiftDeclaration* FindShift(const Inventory& aInventory,
                                  const ShiftName& aName);

} // namespace pollenway
