#pragma once

#include "FleetDigest.h"
#include "FollowedTotals.h"
#include "Ids.h"
#include "StorePosition.h"
#include "Time.h"
#include "UseSelection.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenway {

/// What an instance knows about the instances of other zones, from the digests
/// of the zones' delegates.
///
/// Delegates of different zones send each other sums over their zones. Each
/// passes the sums over the other zones on to the instances of its own. So the
/// traffic between zones grows with the number of zones, and an instance's
/// processing grows with the size of its own zone.
class RemoteZones
{
public:
  /// Age up to which a zone counts as reachable: an interval of each of the two
  /// reports on the way.
  static constexpr Duration kFreshAge = std::chrono::milliseconds(1100);
  /// Age up to which the instances of a zone count as live.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(3200);
  /// Time for which a silent zone's instances count as possibly serving while
  /// cut off. Its delegates are contacted after that as well.
  static constexpr Duration kRetention = std::chrono::seconds(15);

  RemoteZones(InstanceName aSelf, uint64_t aIncarnation, ZoneName aZone);

  /// Returns the requests that instances of other zones have admitted since the
  /// last call. Ignores digests that are not meant for this zone.
  std::vector<AdmittedIncrease> OnDigest(const FleetDigest& aDigest,
                                         TimePoint aNow);
  /// Returns the sums over the other zones, for the instances of the own zone.
  /// To be called only for sending: the uses are those that have changed since
  /// the last call. The sender's fields are not set, and the zones' lists of
  /// endpoints only if `aHasLists`.
  FleetDigest MakeOtherZonesDigest(bool aHasLists, TimePoint aNow);

  /// Returns the requests per second in other zones.
  double Demand(const WorkspaceName& aWorkspace) const;
  /// Returns the number of instances of other zones that are live or may still
  /// be serving while cut off.
  size_t CountKnown(TimePoint aNow) const;
  /// Returns the number of those of which there is recent information.
  size_t CountReachable(TimePoint aNow) const;
  /// Returns the mean time since the status of the other zones' known instances
  /// was made; zero if there are none.
  Duration MeanAge(TimePoint aNow) const;
  /// Returns the other zones that have live instances.
  std::vector<const ZoneStatus*> LiveZones(TimePoint aNow) const;
  /// Returns true if a zone that had instances has been silent for longer than
  /// `kRetention`.
  bool IsAnyZoneLost(TimePoint aNow) const;
  /// Returns the endpoints of the last known delegates of all other zones.
  std::vector<IpEndpoint> DelegateEndpoints() const;
  /// Returns the time since a zone's status was made; empty for an unknown one.
  std::optional<Duration> AgeOf(const ZoneName& aZone, TimePoint aNow) const;
  /// Returns the numbers of lost connections at instances of other zones.
  std::vector<CrashCount> CrashCounts(TimePoint aNow) const;

private:
  struct Zone
  {
    ZoneStatus mStatus;
    TimePoint mAsOf{};
    /// Time of the last digest from a delegate of this zone.
    TimePoint mLastDigestAt{};
    std::vector<CrashCount> mCrashCounts;
    FollowedTotals mTotals;
  };
  /// Crash counts that another delegate of the own zone has summed.
  struct SummedCrashes
  {
    std::vector<CrashCount> mCounts;
    TimePoint mReceivedAt{};
  };

  std::vector<AdmittedIncrease> OnZoneDigest(const FleetDigest& aDigest,
                                             TimePoint aNow);
  std::vector<AdmittedIncrease> OnOtherZonesDigest(const FleetDigest& aDigest,
                                                   TimePoint aNow);
  void UpdateStatus(const ZoneStatus& aStatus, TimePoint aNow);
  void UpdatePositions(const FleetDigest& aDigest);
  bool ReceivesAllZones(TimePoint aNow) const;
  double SumDemand(const WorkspaceName& aWorkspace) const;

  InstanceName mSelf;
  uint64_t mIncarnation;
  ZoneName mZone;
  std::map<ZoneName, Zone> mZones;
  /// Requests admitted by other zones according to their own digests.
  std::map<WorkspaceName, int64_t> mAdmitted;
  /// The sums of this instance and of the zone's delegates over other zones.
  FollowedTotals mTotals;
  uint64_t mOwnSequence = 0;
  SummedCrashes mSummedCrashes;
  UseSelection mSelection;
  StorePosition mConfigurationPosition;
  StorePosition mTargetPosition;
  StorePosition mEvacuationPosition;
};

} // namespace pollenway
