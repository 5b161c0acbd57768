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

/// Decides look-ups: client block and service → region, zone and up to three
/// entry instances with one of another zone as standby, or a refusal. The
/// nearest region that admits the block and has headroom is chosen, after
/// shifts and place states.
class LookupPolicy
{
public:
  /// Table and tracker must outlive the policy.
  LookupPolicy(LookupOptions aOptions,
               const ClientBlockTable& aBlocks,
               HeadroomTracker& aHeadroom);

  /// Takes a new snapshot, on each change of the inventory or of the instances
  /// and every few seconds for their loads. Gives a new inventory to the
  /// tracker.
  void SetView(SteeringView aView, TimePoint aNow);

  LookupDecision Decide(const LookupRequest& aRequest, TimePoint aNow);

  /// Counts a request that a caller sent to this instance.
  void CountRequest(const IpAddress& aClient, TimePoint aNow);

  /// Recomputes the admission shares; about once a second.
  void Tick(TimePoint aNow);

  /// The summary for a heartbeat to the peer, with the tracker's part.
  /// `aForZone`: the sums over the own zone, for a peer of another zone.
  SteeringSummary Summary(const InstanceName& aPeer,
                          bool aForZone,
                          TimePoint aNow);
  /// A peer's heartbeat; passes it on to the tracker.
  void OnSummary(const SteeringSummary& aSummary, TimePoint aNow);

  /// The client block of an address: the matching one, or else its /24 (IPv4)
  /// or /48 (IPv6).
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
    TimePoint mHeardAt;
  };

  /// Load that answers of this instance assign to each instance of a zone. A
  /// value halves every 5 s; instead of shrinking old values, new ones grow, so
  /// that a look-up touches no others.
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
  /// An instance of another zone of the region that no answer's load counts
  /// on; callers turn to it if the answer's zone is lost. Null if there is
  /// none.
  const SteeringIndex::Instance* FindStandby(
    size_t aZone,
    uint64_t aKey,
    const LookupDecision& aDecision) const;
  double UpdateLoadScale(TimePoint aNow);
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
