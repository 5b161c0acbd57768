#pragma once

#include "Random.h"
#include "Time.h"

namespace pollenway {

/// Distribution of the time that a request occupies a slot: a constant plus an
/// exponentially distributed part.
struct ServiceTime
{
  Duration mBase = std::chrono::milliseconds(5);
  Duration mMeanExtra = std::chrono::milliseconds(5);

  Duration Draw(Random& aRandom) const
  {
    return mBase + FromSeconds(aRandom.Exponential(ToSeconds(mMeanExtra)));
  }
};

} // namespace pollenway
