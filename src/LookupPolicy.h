#pragma once

#include "AdmissionShare.h"
#include "ClientBlockTable.h"
#include "DemandEstimator.h"
#include "HeadroomTracker.h"
#include "LookupDecision.h"
#include "LookupOptions.h"
#include "LookupRequest.h"
#include "SteeringIndex.h"

#include <map>
#include <string>
#include <vector>

namespace pollenway {

/// Decides look-ups. Maps a client block and a service to a region, a zone and
/// up to three entry instances, plus one of another zone as a standby, or
/// refuses the look-up. Chooses the nearest region that admits the block and
/// has headroom, after traffic shifts and the states of places are applied.
class LookupPolicy
{
public:
  /// The table and the tracker must outlive the policy.
  LookupPolicy(LookupOptions aOptions,
               const ClientBlockTable& aBlocks,
               HeadroomTracker& aHeadroom);

  /// Replaces the snapshot, and passes a changed inventory to the tracker.
  /// Called when the inventory or the instances change, and every few seconds
  /// to update the loads.
  void SetView(SteeringView aView, TimePoint aNow);

  LookupDecision Decide(const LookupRequest& aRequest, TimePoint aNow);

  /// Counts a caller's request received by this instance.
  void CountRequest(const IpAddress& aClient, TimePoint aNow);

  /// Updates the admission shares. Called about once a second.
  void Tick(TimePoint aNow);

  /// Returns the summary for a heartbeat to the peer, including the tracker's
  /// data. With `aForZone`, which is for peers of other zones, it holds the
  /// sums over this instance's zone.
  SteeringSummary Summary(const InstanceName& aPeer,
                          bool aForZone,
                          TimePoint aNow);
  /// Applies a summary received from a peer, and passes it to the tracker.
  void OnSummary(const SteeringSummary& aSummary, TimePoint aNow);

  /// Returns the client block that contains the address, or the address's /24
  /// (IPv4) or /48 (IPv6) if there is none.
  IpPrefix BlockOf(const IpAddress& aClient) const;

private:
  struct RegionState
  {
    AdmissionShare mShare;
    CommitmentLedger mFirstChoice;
    CommitmentLedger mSpilled;
  };

  struct PeerDemand
  {
    std::vector<RegionDemand> mRegions;
    bool mIsReady = false;
    TimePoint mLastReceivedAt;
  };

  /// Load that answers of this instance assign to each instance of a zone, with
  /// exponential decay (half-life 5 s). New loads are scaled up instead of
  /// scaling old ones down, so that a look-up updates only the instances it
  /// assigns load to.
  struct AssignedLoad
  {
    std::vector<double> mByInstance;
    double mTotal = 0;
  };

  struct Pick
  {
    uint64_t mScore = 0;
    size_t mZone = 0;
    size_t mInstance = 0;
  };

  size_t OriginRegion(BlockRegion aRegion);
  bool Admits(size_t aRegion,
              uint64_t aBlockHash,
              bool aIsFirstChoice,
              bool aIsRotating,
              TimePoint aNow) const;
  void PickInstances(LookupDecision& aDecision,
                     const LookupRequest& aRequest,
                     size_t aZone,
                     uint64_t aKey,
                     double aRate,
                     TimePoint aNow);
  /// Returns the standby: an instance in another zone of the region that is
  /// assigned no load and that callers use if the answer's zone fails. Null if
  /// there is none.
  const SteeringIndex::Instance* FindStandby(
    size_t aZone,
    uint64_t aKey,
    const LookupDecision& aDecision) const;
  /// Returns the scale for new assigned loads. Rescales all of them when the
  /// scale gets too large.
  double UpdateLoadScale(TimePoint aNow);
  /// Returns the demand reported by the peer whose admission shares apply to
  /// the region. Null if this instance decides the shares.
  const RegionDemand* FindDecidingPeer(size_t aRegion, TimePoint aNow) const;
  RegionDemand OwnDemand(size_t aRegion, TimePoint aNow);

  LookupOptions mOptions;
  const ClientBlockTable& mBlocks;
  HeadroomTracker& mHeadroom;
  DemandEstimator mDemand;
  std::shared_ptr<const Inventory> mInventory;
  SteeringIndex mIndex;
  size_t mOwnRegion = ZoneNumbering::kNone;
  std::vector<size_t> mOriginRegions;
  std::vector<RegionState> mRegions;
  std::map<InstanceName, PeerDemand> mPeers;
  std::map<ZoneName, PeerDemand> mOtherZones;
  std::vector<AssignedLoad> mAssigned;
  TimePoint mLoadScaleOrigin = TimePoint::min();
};

} // namespace pollenway
