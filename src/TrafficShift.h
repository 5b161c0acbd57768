#pragma once

#include "Result.h"
#include "ShiftAction.h"
#include "ShiftConditions.h"

#include <optional>

namespace pollenway {

/// Controls one declared shift. The state of the shift is its declaration in
/// the accepted configuration; this object only proposes the next declaration.
/// While the store is down, the shift therefore stays at its step. While a
/// change propagates, each instance is at either the old or the new step.
///
/// Invariants, asserted at each proposal: a step moves at most `mStepCap` of
/// the callers and of their load, all steps at most `mRateCap` (requests/s),
/// and the share never exceeds `mFinalShare`.
class TrafficShift
{
public:
  explicit TrafficShift(ShiftName aName);

  /// Returns the position of a client block on the shift's scale, in [0, 1). It
  /// does not depend on the share, so raising the share moves no caller back.
  static double PositionOf(uint64_t aBlockHash, uint64_t aShiftHash);
  static uint64_t HashOfShift(const ShiftName& aName);
  /// Returns true if callers at the position are moved to the destination.
  static bool IsMoved(const ShiftDeclaration& aShift, double aPosition);

  /// Applies the declaration from an accepted configuration. Ignores
  /// generations that are not higher than the last one.
  void Apply(const ShiftDeclaration& aShift,
             uint64_t aGeneration,
             TimePoint aNow);

  /// Returns the next proposal, if any. Called about once a second. Without a
  /// new generation, a proposal is repeated after 10 s; a repeat is a
  /// conditional update on the same generation, so it can't take effect twice.
  ShiftAction Evaluate(const ShiftConditions& aConditions, TimePoint aNow);

  /// Return the declaration that results from an operator's command. Fail with
  /// InvalidState.
  static Result<ShiftDeclaration> Resume(const ShiftDeclaration& aShift);
  static Result<ShiftDeclaration> Pause(const ShiftDeclaration& aShift);
  /// Moves all callers back at once; the cap limits forward steps only. Demand
  /// above the headroom of the source is distributed by headroom, like any
  /// other demand.
  static Result<ShiftDeclaration> RollBack(const ShiftDeclaration& aShift);

private:
  ShiftAction Wait(std::string_view aReason) const;
  ShiftAction Propose(ShiftActionKind aKind,
                      ShiftDeclaration aNext,
                      TimePoint aNow);
  std::string_view StopReason(const ShiftConditions& aConditions) const;
  double NextShare(const ShiftDemand& aDemand) const;

  ShiftName mName;
  std::optional<ShiftDeclaration> mShift;
  uint64_t mGeneration = 0;
  /// Time at which this instance first saw the current share or state.
  TimePoint mChangedAt = TimePoint::min();
  TimePoint mProposedAt = TimePoint::min();
  /// Stop condition found by the previous evaluation; empty if none.
  std::string_view mPreviousStopReason;
  uint64_t mRequests = 0;
  uint64_t mFailures = 0;
};

} // namespace pollenway
