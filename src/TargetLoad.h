#pragma once

#include "Time.h"

namespace pollenway {

/// A target's own report of its load, sent with an answer.
struct TargetLoad
{
  unsigned mRunning = 0;
  unsigned mWaiting = 0;
  unsigned mSlots = 0;

  unsigned Total() const { return mRunning + mWaiting; }
};

} // namespace pollenway
