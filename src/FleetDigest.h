#pragma once

#include "CrashCount.h"
#include "Ids.h"
#include "IpEndpoint.h"
#include "StorePosition.h"
#include "WorkspaceUse.h"
#include "ZoneStatus.h"

#include <cstdint>
#include <vector>

namespace pollenway {

/// The instances over which the values of a digest are summed.
enum class DigestScope : uint8_t
{
  /// Those of the sender's zone; sent to the delegates of other zones.
  Zone,
  /// Those of all other zones; sent to the instances of the sender's zone.
  OtherZones,
};

/// Sums over the instances of one or more zones, sent by a zone's delegate. A
/// digest is sent in several parts if it doesn't fit into one datagram; each
/// part can be used without the others.
struct FleetDigest
{
  InstanceName mSender;
  /// Start time of the sender; a later incarnation has a higher number.
  uint64_t mIncarnation = 0;
  /// Increases with each digest of an incarnation; equal in all parts of one.
  uint64_t mSequence = 0;
  ZoneName mSenderZone;
  DigestScope mScope = DigestScope::Zone;
  /// True in the part that has the fields from here to `mCrashCounts`.
  bool mHasStatus = true;
  /// True if the receiver should report without delay as well, because many
  /// more requests have arrived than the last reports suggested.
  bool mIsUrgent = false;
  /// True if another instance of the zone has received this digest and passed
  /// it on to its delegate.
  bool mIsForwarded = false;
  /// Newest versions of the store's objects that the instances have received.
  StorePosition mConfigurationPosition;
  StorePosition mTargetPosition;
  StorePosition mEvacuationPosition;
  std::vector<ZoneStatus> mZones;
  std::vector<CrashCount> mCrashCounts;
  /// Sums of the demand and of the requests that the sender has seen admitted
  /// since its start.
  std::vector<WorkspaceUse> mUses;

  bool operator==(const FleetDigest&) const = default;
};

} // namespace pollenway
