#pragma once

#include "Time.h"

namespace pollenway {

/// Returns the time of a monotonic clock that also counts while the machine is
/// suspended, so that a lease can't outlive a suspension.
TimePoint SteadyNow();

} // namespace pollenway
