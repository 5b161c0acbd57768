#pragma once

#include "Time.h"

#include <algorithm>

namespace pollenway {

/// The token bucket that a workspace would have on a single server. It defines
/// which attempts the workspace is entitled to.
class IdealBucket
{
public:
  /// Starts full. `aRate` is in tokens/s, `aBurst` in tokens.
  IdealBucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// Takes a token and returns true if there is one. Times must not decrease.
  bool Admit(TimePoint aTime)
  {
    if (mStarted) {
      mTokens =
        std::min(mBurst, mTokens + mRate * ToSeconds(aTime - mUpdatedAt));
    }
    mStarted = true;
    mUpdatedAt = aTime;
    // The tolerance keeps rounding errors from delaying a token that becomes
    // available exactly at `aTime`.
    if (mTokens < 1 - 1e-9) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mRate;
  double mBurst;
  double mTokens;
  TimePoint mUpdatedAt;
  bool mStarted = false;
};

} // namespace pollenway
