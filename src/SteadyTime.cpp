#include "SteadyTime.h"

#include <time.h>

namespace pollenway {

TimePoint SteadyNow()
{
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace pollenway
