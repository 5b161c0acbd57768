#pragma once

#include "Time.h"

#include <algorithm>
#include <cstdint>

/// One token bucket for the whole fleet, to check that all admissions together
/// stay within the limit.
class IdealBucket
{
public:
  IdealBucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// Records `aCount` admissions. Returns false if the admissions so far exceed
  /// rate and burst.
  bool Admit(uint64_t aCount, pollenway::TimePoint aNow)
  {
    mTokens = std::min(
      mBurst, mTokens + mRate * pollenway::ToSeconds(aNow - mUpdatedAt));
    mUpdatedAt = aNow;
    mTokens -= double(aCount);
    return mTokens > -1e-6;
  }

private:
  double mRate;
  double mBurst;
  double mTokens;
  pollenway::TimePoint mUpdatedAt{};
};
