#pragma once

#include "Time.h"

#include <algorithm>

namespace pollenway {

/// The token bucket that a workspace would have on a single server: the
/// measure of what it is entitled to.
class IdealBucket
{
public:
  /// Starts full. `aRate` in tokens a second, `aBurst` in tokens.
  IdealBucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// Takes a token if there is one. Times must not decrease.
  bool Admit(TimePoint aTime)
  {
    if (mStarted) {
      mTokens = std::min(mBurst, mTokens + mRate * ToSeconds(aTime - mUpdated));
    }
    mStarted = true;
    mUpdated = aTime;
    // Rounding must not make a token that is due to the nanosecond late.
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
  TimePoint mUpdated;
  bool mStarted = false;
};

} // namespace pollenway
