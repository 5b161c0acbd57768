#pragma once

#include "Ids.h"

#include <map>

namespace pollenway {

/// Shares of a service's requests by the region in which they run. The sum
/// is 1.
using RegionShares = std::map<RegionName, double>;

/// Returns the share of the requests that change their region from one
/// distribution to the other: half of the sum of the differences.
double MovedShare(const RegionShares& aBefore, const RegionShares& aAfter);

/// Returns the distribution on the straight line from `aFrom` to `aTo` at which
/// at most `aMaxMoved` of the requests have changed their region.
RegionShares MoveTowards(const RegionShares& aFrom,
                         const RegionShares& aTo,
                         double aMaxMoved);

} // namespace pollenway
