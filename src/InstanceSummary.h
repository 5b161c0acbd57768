#pragma once

#include "CrashCount.h"
#include "Ids.h"
#include "IpEndpoint.h"
#include "ServiceDemand.h"
#include "WorkspaceUse.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenway {

/// What an instance tells the others about itself several times a second.
struct InstanceSummary
{
  InstanceName mName;
  /// Start of this run of the process; a later run has a higher number.
  uint64_t mIncarnation = 0;
  /// Grows with each summary of a run.
  uint64_t mSequence = 0;
  ZoneName mZone;
  RegionName mRegion;
  /// Where it receives summaries.
  IpEndpoint mPeer;
  /// Where callers connect to it.
  IpEndpoint mCaller;
  /// It takes new callers.
  bool mReady = false;
  /// Version of the configuration in force there.
  uint64_t mTableVersion = 0;
  /// Newest versions of the store's objects that it has seen.
  uint64_t mConfigurationRevision = 0;
  uint64_t mTargetRevision = 0;
  uint64_t mEvacuationRevision = 0;
  std::vector<WorkspaceUse> mWorkspaceUses;
  std::vector<ServiceRate> mServiceRates;
  /// Addresses of other instances, a few at a time.
  std::vector<IpEndpoint> mKnownPeers;
  /// Requests whose targets broke off while they ran them.
  std::vector<CrashCount> mCrashCounts;

  bool operator==(const InstanceSummary&) const = default;
};

} // namespace pollenway
