#pragma once

#include "ClientBlockTable.h"
#include "HeadroomTracker.h"
#include "LookupPolicy.h"
#include "MembershipService.h"

#include <memory>

namespace pollenway {

/// Decides look-ups and updates the state they need: client blocks, instances,
/// and the headroom that peers lend each other.
class SteeringService
{
public:
  SteeringService(asio::any_io_executor aExecutor,
                  FleetState& aFleet,
                  PeerTransport& aTransport,
                  MembershipService& aMembership);

  void Start();
  void Stop();
  void OnInventory();
  /// Called when the members of a zone change.
  void OnDirectory();
  /// Called when this process joins its zone as a new incarnation, which owns
  /// no headroom yet.
  void OnRejoin();

  LookupDecision Decide(const LookupRequest& aRequest);
  /// Counts a caller's request for the estimated rate of its client block.
  void CountRequest(const IpAddress& aClient);
  /// Applies a summary received from a peer. Returns the loans of headroom to
  /// it.
  peer::SteeringReply HandleSummary(const peer::Steering& aSummary);

private:
  Awaitable<void> TimerLoop();
  Awaitable<void> Exchange(InstanceInfo aPeer);
  std::vector<InstanceInfo> NextExchangePeers();
  bool IsUnreachable(const InstanceInfo& aPeer) const;
  void RecordExchange(const InstanceInfo& aPeer, bool aAnswered);
  void UpdateBlocks();
  void UpdateView();
  void UpdateLease();

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  PeerTransport& mTransport;
  MembershipService& mMembership;
  ClientBlockTable mBlocks;
  std::map<IpPrefix, RegionName> mAppliedBlocks;
  std::unique_ptr<HeadroomTracker> mHeadroom;
  std::unique_ptr<LookupPolicy> mPolicy;
  asio::steady_timer mTimer;
  /// Consecutive exchanges without an answer, by the peer's incarnation.
  std::map<uint64_t, unsigned> mUnansweredExchanges;
  uint64_t mAppliedView = 0;
  uint64_t mRemotePeerIndex = 0;
  bool mStopping = false;
};

} // namespace pollenway
