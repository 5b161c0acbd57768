#pragma once

#include "Lifecycle.h"
#include "Time.h"

namespace pollenway {

/// Declared limits of a target, as its slot owner applies them.
struct SlotLimits
{
  /// Requests at once.
  unsigned mSlots = 1;
  /// Connections at once.
  unsigned mConnections = 650;
  Lifecycle mState = Lifecycle::Live;
  /// Longest time that a request may hold a slot (`Service::mTimeout`).
  Duration mTimeout = std::chrono::seconds(10);
};

} // namespace pollenway
