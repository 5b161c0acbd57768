#pragma once

#include "RequestFingerprint.h"

#include <vector>

namespace pollenway {

/// Maximum number of requests in one report, so that it fits its datagram. If
/// more requests lose their connections at once, the cause is a network fault
/// and not a single request.
constexpr size_t kMaxReportedCrashes = 32;

/// Number of times that one or more instances lost the connection to a target
/// while it ran a request.
struct CrashCount
{
  RequestFingerprint mRequest;
  unsigned mCount = 0;

  bool operator==(const CrashCount&) const = default;
};

/// Adds the counts of equal requests. Returns the highest sums if there are
/// more than `kMaxReportedCrashes`.
std::vector<CrashCount> SumCrashCounts(std::vector<CrashCount> aLeft,
                                       const std::vector<CrashCount>& aRight);

} // namespace pollenway
