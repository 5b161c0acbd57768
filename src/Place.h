#pragma once

#include "Ids.h"
#include "Lifecycle.h"

namespace pollenway {

/// Site in an availability zone that hosts targets.
struct Place
{
  PlaceName mName;
  ZoneName mZone;
  Lifecycle mState = Lifecycle::Live;
  /// Place that serves the callers of this place once it is draining or
  /// retired; empty if there is none.
  PlaceName mSuccessor;

  bool operator==(const Place&) const = default;
};

} // namespace pollenway
