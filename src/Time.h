#pragma once

#include <chrono>

namespace pollenway {

using Duration = std::chrono::nanoseconds;

/// Clock type of the monotonic time points that are passed to the core. It has
/// no `now()`: the caller of the core passes in the current time, so that tests
/// can use a simulated clock.
struct MonotonicClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

/// A monotonic time point; the origin is arbitrary and differs by process.
using TimePoint = MonotonicClock::time_point;

/// Returns `aDuration` in seconds as a real number.
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Converts `aSeconds` to a duration, rounded towards zero.
inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace pollenway
