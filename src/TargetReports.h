#pragma once

#include "Time.h"

namespace pollenway {

/// A slot owner's count of a target's requests, from a heartbeat.
struct LoadSummary
{
  /// Slots in use plus requests that wait in the owner's queue.
  double mLoad = 0;
  /// When it was counted, on the receiver's clock: the time of receipt less the
  /// age that the heartbeat states.
  TimePoint mCountedAt{};
};

/// What a target's health endpoint says. Only a hint: it may lag or mislead.
struct HealthReport
{
  /// False if the probe failed.
  bool mAnswered = true;
  bool mDraining = false;
};

} // namespace pollenway
