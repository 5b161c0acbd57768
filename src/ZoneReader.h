#pragma once

#include "Ids.h"
#include "InstanceTable.h"
#include "Time.h"

namespace pollenway {

/// Returns the instance of a zone that reads the store for the others: the
/// ready one whose name has the lowest hash. With one reader per zone, the
/// calls to the store grow with the number of zones and not of instances. All
/// instances of a zone that receive each other's summaries choose the same
/// reader. Those that don't may choose several, which only costs more calls.
///
/// Returns null if `aSelf` should read the store itself.
const InstanceTable::Peer* FindZoneReader(const InstanceTable& aInstances,
                                          const InstanceName& aSelf,
                                          bool aIsSelfReady,
                                          const ZoneName& aZone,
                                          TimePoint aNow);

} // namespace pollenway
