#pragma once

#include "Time.h"

namespace pollenway {

/// Times of a planned stop, counted from SIGTERM, in this order.
struct StopSchedule
{
  /// Until then callers use their open connections; afterwards idle ones are
  /// closed.
  Duration mCallersServed{};
  /// The deadline that targets are given. It is not before the last sixth of
  /// the grace: until then, targets may work on the requests of a stopping
  /// instance.
  Duration mTargetDeadline{};
  /// The requests that are left get their final answer.
  Duration mRequestsEnded{};
  /// The connections that are left are closed, and the process exits.
  Duration mProcessEnds{};
};

/// Returns the schedule for a forced end of the process `aGrace` after SIGTERM.
StopSchedule MakeStopSchedule(Duration aGrace);

} // namespace pollenway
