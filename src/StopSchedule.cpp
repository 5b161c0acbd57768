#include "StopSchedule.h"

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// Callers keep using open connections to an instance until their look-up's
/// answer expires, so a stopping instance continues to serve them for this
/// time.
constexpr Duration kCallerMigrationTime = 3s;
constexpr int kGraceParts = 6;
/// Maximum times before the forced end at which each step is taken. A short
/// grace has them in the same proportions within its last sixth.
constexpr Duration kMaxTargetReserve = 800ms;
constexpr Duration kMaxAnswerReserve = 650ms;
/// Long enough for a busy process to exit by itself.
constexpr Duration kMaxExitReserve = 500ms;

} // namespace

StopSchedule MakeStopSchedule(Duration aGrace)
{
  const Duration lastPart = aGrace / kGraceParts;
  const auto before = [&](Duration aMaxReserve) {
    return aGrace -
           std::min(aMaxReserve,
                    lastPart * aMaxReserve.count() / kMaxTargetReserve.count());
  };
  StopSchedule out;
  out.mTargetDeadline = before(kMaxTargetReserve);
  out.mRequestsEnded = before(kMaxAnswerReserve);
  out.mProcessEnds = before(kMaxExitReserve);
  out.mCallersServed = std::min(kCallerMigrationTime, out.mTargetDeadline);
  return out;
}

} // namespace pollenway
