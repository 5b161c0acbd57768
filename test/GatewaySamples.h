#pragma once

#include "RegisteredTarget.h"
#include "RoutingTable.h"
#include "TargetTable.h"

#include <map>
#include <string>

namespace pollenway::sample {

/// Returns the zones of two regions: "north" with the zones n1 and n2, and
/// "south" with s1.
inline std::map<ZoneName, RegionName> RegionOfZones()
{
  return { { ZoneName("n1"), RegionName("north") },
           { ZoneName("n2"), RegionName("north") },
           { ZoneName("s1"), RegionName("south") } };
}

inline RegisteredTarget MakeTarget(const std::string& aName,
                                   const std::string& aZone,
                                   unsigned aSlots = 4)
{
  return { .mName = TargetName(aName),
           .mService = ServiceName("lookup"),
           .mZone = ZoneName(aZone),
           .mAddress = "127.0.0.1",
           .mPort = 9000,
           .mSlots = aSlots,
           .mStartedAtMs = 1 };
}

/// Returns the time `aSeconds` after the start of a test's clock.
inline TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

/// Adds `aCount` targets named PREFIX0, PREFIX1 and so on to one zone.
inline void PutTargets(TargetTable& aTable,
                       const std::string& aPrefix,
                       const std::string& aZone,
                       int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    aTable.Put(MakeTarget(aPrefix + std::to_string(n), aZone), At(0), {});
  }
}

} // namespace pollenway::sample
