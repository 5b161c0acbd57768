#pragma once

#include "Ids.h"
#include "Route.h"
#include "Time.h"

#include <vector>

namespace pollenway {

/// A service that callers look up and send requests to.
struct Service
{
  ServiceName mName;
  std::vector<Route> mRoutes;
  /// Default deadline of a request and upper bound of the deadline that it may
  /// state.
  Duration mTimeout = std::chrono::seconds(10);
  /// Time for which callers may cache a look-up's answer.
  Duration mLookupTtl = std::chrono::seconds(5);
  /// A connection is closed after a pause longer than this in a body or answer.
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// Maximum number of requests queued for each target.
  unsigned mQueueLimit = 16;

  bool operator==(const Service&) const = default;
};

} // namespace pollenway
