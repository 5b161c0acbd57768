#pragma once

#include "Ids.h"

namespace pollenway {

/// A service with its share of a route's requests.
struct WeightedService
{
  ServiceName mService;
  /// Relative to the other services of the route; not negative.
  double mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

} // namespace pollenway
