#pragma once

#include "Time.h"

#include <cmath>

namespace pollenway {

/// Requests per second, averaged with exponentially decreasing weight.
class DemandEstimate
{
public:
  /// Observations older than `aTimeConstant` count for little.
  explicit DemandEstimate(Duration aTimeConstant)
    : mTimeConstantSeconds(ToSeconds(aTimeConstant))
  {
  }

  void Add(double aCount, TimePoint aNow)
  {
    mRate = PerSecond(aNow) + aCount / mTimeConstantSeconds;
    mUpdatedAt = aNow > mUpdatedAt ? aNow : mUpdatedAt;
  }

  double PerSecond(TimePoint aNow) const
  {
    return aNow <= mUpdatedAt ? mRate
                              : mRate * std::exp(-ToSeconds(aNow - mUpdatedAt) /
                                                 mTimeConstantSeconds);
  }

private:
  double mTimeConstantSeconds;
  double mRate = 0;
  TimePoint mUpdatedAt{};
};

} // namespace pollenway
