#pragma once

#include "Ids.h"
#include "Route.h"
#include "Time.h"

#include <vector>

namespace pollenway {

/// What callers look up and send requests to.
struct Service
{
  ServiceName mName;
  std::vector<Route> mRoutes;
  /// Used if the request names no deadline; also the upper bound of one.
  Duration mTimeout = std::chrono::seconds(10);
  /// How long callers may keep a look-up's answer.
  Duration mLookupTtl = std::chrono::seconds(5);
  /// A pause in a body or answer longer than this ends the connection.
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// Length of the queue before each target, in requests.
  unsigned mQueueLimit = 16;

  bool operator==(const Service&) const = default;
};

} // namespace pollenway
