#pragma once

#include "Ids.h"
#include "IpEndpoint.h"
#include "ServiceDemand.h"
#include "Time.h"
#include "ZoneDelegate.h"

#include <vector>

namespace pollenway {

/// What the other zones need to know about a zone's instances.
struct ZoneStatus
{
  ZoneName mZone;
  RegionName mRegion;
  /// Time since the zone's delegate made this status, as far as the sender
  /// knows; transit times are not included.
  Duration mAge{};
  /// Number of instances that are live or may still be serving while cut off.
  unsigned mKnown = 0;
  /// Number of those from which the delegate has a recent summary.
  unsigned mReachable = 0;
  /// True if a ready instance reaches targets.
  bool mReachesTargets = true;
  /// Empty if this and the next list are those of an earlier status.
  std::vector<ZoneDelegate> mDelegates;
  /// Endpoints to which callers can connect at some of the ready instances:
  /// those that reach targets, or others if none does.
  std::vector<IpEndpoint> mCallerEndpoints;
  /// Requests per second that callers send to the zone's instances.
  std::vector<ServiceRate> mServiceRates;

  bool operator==(const ZoneStatus&) const = default;
};

} // namespace pollenway
