#pragma once

#include "Time.h"

#include <algorithm>
#include <cstdint>

/// The token bucket that all admissions of the fleet together must fit.
class IdealBucket
{
public:
  IdealBucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  /// False if the admissions so far exceed rate and burst.
  bool Admit(uint64_t aCount, pollenway::TimePoint aNow)
  {
    mLevel =
      std::min(mBurst, mLevel + mRate * pollenway::ToSeconds(aNow - mLast));
    mLast = aNow;
    mLevel -= double(aCount);
    return mLevel > -1e-6;
  }

private:
  double mRate;
  double mBurst;
  double mLevel;
  pollenway::TimePoint mLast{};
};
