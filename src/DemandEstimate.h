#pragma once

#include "Time.h"

#include <cmath>

namespace pollenway {

/// Exponentially weighted moving average of requests per second.
class DemandEstimate
{
public:
  /// The weight of an observation decays by a factor of e per `aTimeConstant`.
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
