#pragma once

#include "Ids.h"

namespace pollenway {

/// A service with its part of a route's requests.
struct WeightedService
{
  ServiceName mService;
  /// Relative to the other parts of the route; not negative.
  double mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

} // namespace pollenway
