#pragma once

#include "Time.h"

#include <cmath>

namespace pollenway {

/// Requests per second, averaged with exponentially decreasing weight.
class DemandEstimate
{
public:
  /// Observations older than `aMemory` count for little.
  explicit DemandEstimate(Duration aMemory)
    : mMemory(ToSeconds(aMemory))
  {
  }

  void Add(double aCount, TimePoint aNow)
  {
    mRate = PerSecond(aNow) + aCount / mMemory;
    mLast = aNow > mLast ? aNow : mLast;
  }

  double PerSecond(TimePoint aNow) const
  {
    return aNow <= mLast ? mRate
                         : mRate * std::exp(-ToSeconds(aNow - mLast) / mMemory);
  }

private:
  double mMemory;
  double mRate = 0;
  TimePoint mLast{};
};

} // namespace pollenway
