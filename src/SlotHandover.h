#pragma once

#include "Ids.h"
#include "Time.h"

#include <vector>

namespace pollenway {

/// What one former slot owner still holds of a target.
struct FormerOwnerUse
{
  /// Empty if the owner was evicted and what it held is only bounded.
  InstanceName mOwner;
  unsigned mSlots = 0;
  unsigned mConnections = 0;
  /// Time left until the use counts as ended without a report; negative if it
  /// only ends by a report.
  Duration mRemainingTime = Duration(-1);
};

/// State of one target that a leaving slot owner gives to the next one.
struct SlotHandover
{
  TargetName mTarget;
  bool mDraining = false;
  std::vector<FormerOwnerUse> mUses{};
};

} // namespace pollenway
