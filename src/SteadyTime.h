#pragma once

#include "Time.h"

namespace pollenway {

/// Now on the process's monotonic clock. It counts while the machine is
/// suspended, so that a lease can't outlive a suspension.
TimePoint SteadyNow();

} // namespace pollenway
