#pragma once

#include "CrashCount.h"
#include "Ids.h"
#include "IpEndpoint.h"
#include "ServiceDemand.h"
#include "StorePosition.h"
#include "WorkspaceUse.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenway {

/// State that an instance reports about itself to the others of its zone
/// several times a second.
struct InstanceSummary
{
  InstanceName mName;
  /// Start time of this incarnation; a later incarnation has a higher number.
  uint64_t mIncarnation = 0;
  /// Increases with each summary of an incarnation.
  uint64_t mSequence = 0;
  ZoneName mZone;
  RegionName mRegion;
  /// Endpoint at which the instance receives summaries.
  IpEndpoint mPeer;
  /// Endpoint to which callers connect.
  IpEndpoint mCaller;
  /// True if the instance accepts new callers.
  bool mReady = false;
  /// True if the instance has just started and will accept callers soon.
  bool mIsStarting = false;
  /// False while the instance has lost its paths to all targets, and for some
  /// time after that.
  bool mReachesTargets = true;
  /// Version of the configuration in force on the instance.
  uint64_t mTableVersion = 0;
  /// Newest versions of the store's objects that the instance has received.
  StorePosition mConfigurationPosition;
  StorePosition mTargetPosition;
  StorePosition mEvacuationPosition;
  std::vector<WorkspaceUse> mWorkspaceUses;
  std::vector<ServiceRate> mServiceRates;
  /// Endpoints of some other instances, a few per summary.
  std::vector<IpEndpoint> mKnownPeers;
  /// Requests during which the connection to the target was lost.
  std::vector<CrashCount> mCrashCounts;
  /// True if the zone's delegates should pass on this report without delay.
  bool mIsUrgent = false;

  bool operator==(const InstanceSummary&) const = default;
};

} // namespace pollenway
