#pragma once

#include "Lifecycle.h"
#include "Time.h"

namespace pollenway {

/// Declared limits of a target, enforced by its slot owner.
struct SlotLimits
{
  /// Maximum number of concurrent requests.
  unsigned mSlots = 1;
  /// Maximum number of concurrent connections.
  unsigned mConnections = 650;
  Lifecycle mState = Lifecycle::Live;
  /// Longest time that a request may hold a slot (`Service::mTimeout`).
  Duration mTimeout = std::chrono::seconds(10);
};

} // namespace pollenway
