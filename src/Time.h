#pragma once

#include <chrono>

namespace pollenway {

using Duration = std::chrono::nanoseconds;

/// Tag of the monotonic time scale that the core is driven with. It has no
/// `now()`: the caller of the core passes each time in, so that tests run on
/// their own clock.
struct MonotonicClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

/// A point of monotonic time; the origin is arbitrary and differs by process.
using TimePoint = MonotonicClock::time_point;

/// `aDuration` in seconds, as a real number.
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// `aSeconds` as a duration, rounded towards zero.
inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace pollenway
