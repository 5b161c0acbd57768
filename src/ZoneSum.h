#pragma once

#include "FleetDigest.h"
#include "InstanceSummary.h"
#include "InstanceTable.h"
#include "Time.h"

#include <vector>

namespace pollenway {

/// Maximum number of instances to which a zone's digest directs callers of
/// other zones: enough to share the callers of a zone whose instances are gone.
constexpr size_t kMaxCallerEndpoints = 8;

/// Returns the digest of a zone from this instance's own summary and the last
/// ones of the zone's other instances. The sender's fields, the uses and the
/// crash counts are not set.
FleetDigest SumZone(const InstanceSummary& aSelf,
                    const InstanceTable& aOthers,
                    const std::vector<ZoneDelegate>& aDelegates,
                    TimePoint aNow);

} // namespace pollenway
