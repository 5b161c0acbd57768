#pragma once

#include "Ids.h"
#include "Time.h"

#include <vector>

namespace pollenway {

/// Slots and connections of a target that one former slot owner still uses.
struct FormerOwnerUse
{
  /// Empty if the owner was evicted; the counts are then upper bounds.
  InstanceName mOwner;
  unsigned mSlots = 0;
  unsigned mConnections = 0;
  /// Time until the use counts as ended without a report; negative if it ends
  /// only by a report.
  Duration mRemainingTime = Duration(-1);
};

/// State of one target that a slot owner passes to the next one.
struct SlotHandover
{
  TargetName mTarget;
  bool mDraining = false;
  std::vector<FormerOwnerUse> mUses{};
};

} // namespace pollenway
