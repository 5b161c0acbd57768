#pragma once

#include "Ids.h"
#include "InstanceTable.h"
#include "Time.h"

namespace pollenway {

/// The instance of a zone that reads the store for the others, so that the
/// store's calls grow with the zones and not with the instances: the ready one
/// whose name has the lowest hash. All instances of a zone that hear each other
/// choose alike; when they don't, more of them read, which is only dearer.
///
/// Null if `aSelf` is to read the store itself.
const InstanceTable::Peer* FindZoneReader(const InstanceTable& aInstances,
                                          const InstanceName& aSelf,
                                          bool aIsSelfReady,
                                          const ZoneName& aZone,
                                          TimePoint aNow);

} // namespace pollenway
