#pragma once

#include "Time.h"

namespace pollenway {

/// A slot owner's count of a target's requests, received with a heartbeat.
struct LoadSummary
{
  /// Slots in use plus requests in the owner's queue.
  double mLoad = 0;
  /// Time of the count on the receiver's clock: time of receipt minus the age
  /// stated in the heartbeat.
  TimePoint mCountedAt{};
};

/// State reported by a target's health endpoint. Only a hint: it may be stale
/// or misleading.
struct HealthReport
{
  /// False if the probe failed.
  bool mAnswered = true;
  bool mDraining = false;
};

} // namespace pollenway
