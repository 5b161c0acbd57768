#pragma once

#include "Ids.h"
#include "Lifecycle.h"

namespace pollenway {

/// A site in an availability zone at which targets stand.
struct Place
{
  PlaceName mName;
  ZoneName mZone;
  Lifecycle mState = Lifecycle::Live;
  /// Serves the callers of a retired place; empty if there is none.
  PlaceName mSuccessor;

  bool operator==(const Place&) const = default;
};

} // namespace pollenway
