#pragma once

#include "Ids.h"
#include "Route.h"
#include "Time.h"
#include "WeightedService.h"

#include <string>
#include <vector>

namespace pollenway {

/// How the requests of one host and path prefix are forwarded.
struct RoutingRule
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteExecution mExecution = RouteExecution::Unprotected;
  RouteAccess mAccess = RouteAccess::Keyed;
  /// At least one. Requests are split among several by weight.
  std::vector<WeightedService> mServices;
  /// Maximum time until a caller receives its final answer.
  Duration mTimeout = std::chrono::seconds(10);
  /// Latency objective: the operators count an answer within this time in full.
  Duration mLatencyTarget = std::chrono::seconds(1);
  /// Maximum number of targets on which one attempt of a caller may run.
  unsigned mMaxAttempts = 1;
  /// 0 is the most urgent.
  unsigned mPriority = 0;
  /// True if targets keep state of the object that a request concerns.
  bool mSticky = false;
  /// Regions in which the requests may be served; empty for all.
  std::vector<RegionName> mAllowedRegions;

  bool operator==(const RoutingRule&) const = default;
};

} // namespace pollenway
