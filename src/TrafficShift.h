#pragma once

#include "Result.h"
#include "ShiftAction.h"
#include "ShiftConditions.h"

#include <optional>

namespace pollenway {

/// Drives one declared shift. Its state is the declaration in the accepted
/// configuration; this object only proposes the next one. So with the store
/// down the shift stays where it is, and every instance is at the old or at the
/// new step while a change spreads.
///
/// Invariants, asserted at each proposal: a step moves at most `mStepCap` of
/// the callers and of their load, all steps at most `mRateCap` (requests/s),
/// and the share never exceeds `mFinalShare`.
class TrafficShift
{
public:
  explicit TrafficShift(ShiftName aName);

  /// Position of a client block on the shift's scale, in [0, 1). It does not
  /// depend on the share, so raising the share moves callers one way only.
  static double PositionOf(uint64_t aBlockHash, uint64_t aShiftHash);
  static uint64_t HashOfShift(const ShiftName& aName);
  /// Whether a caller at the position is on the destination's side.
  static bool IsMoved(const ShiftDeclaration& aShift, double aPosition);

  /// Takes the declaration of an accepted configuration; ignores generations
  /// that are not higher than the last one.
  void Apply(const ShiftDeclaration& aShift,
             uint64_t aGeneration,
             TimePoint aNow);

  /// The next proposal, if any; about once a second. A proposal is repeated
  /// after 10 s without a new generation: it is the same conditional update,
  /// so a repeat can't take effect twice.
  ShiftAction Evaluate(const ShiftConditions& aConditions, TimePoint aNow);

  /// Declarations for the operator's commands. Fail with InvalidState.
  static Result<ShiftDeclaration> Resume(const ShiftDeclaration& aShift);
  static Result<ShiftDeclaration> Pause(const ShiftDeclaration& aShift);
  /// Moves all callers back at once: the cap limits steps forward only. What
  /// the source can't take is spread by headroom like any other demand.
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
  /// When this instance saw the present share or state first.
  TimePoint mChangedAt = TimePoint::min();
  TimePoint mProposedAt = TimePoint::min();
  /// Stop condition of the previous evaluation; empty if none.
  std::string_view mPreviousStopReason;
  uint64_t mRequests = 0;
  uint64_t mFailures = 0;
};

} // namespace pollenway
