#pragma once

#include "Random.h"
#include "Time.h"

#include <algorithm>

namespace pollenway {

/// Computes delays between attempts that grow exponentially up to a limit.
/// Jitter keeps many processes that failed together from retrying together.
class Backoff
{
public:
  struct Options
  {
    Duration mInitialDelay = std::chrono::milliseconds(100);
    Duration mMaxDelay = std::chrono::seconds(10);
  };

  Backoff(Options aOptions, uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mNext(aOptions.mInitialDelay)
  {
  }

  /// Returns the delay after one more failure: a random value between half and
  /// all of the current step, which doubles with each call.
  Duration Next()
  {
    const Duration step = std::min(mNext, mOptions.mMaxDelay);
    mNext = std::min(step * 2, mOptions.mMaxDelay);
    return FromSeconds(ToSeconds(step) * (0.5 + 0.5 * mRandom.Uniform()));
  }

  /// Returns to the first step. Call after a success.
  void Reset() { mNext = mOptions.mInitialDelay; }

private:
  Options mOptions;
  Random mRandom;
  Duration mNext;
};

} // namespace pollenway
