#pragma once

#include "BackendDispatcher.h"
#include "MembershipService.h"

#include <map>
#include <set>

namespace pollenway {

/// Manages the targets whose slot owner is this instance: takes them over when
/// the zone's view changes, probes their health endpoints, and reports their
/// load to the other instances.
class TargetMonitor
{
public:
  TargetMonitor(asio::any_io_executor aExecutor,
                FleetState& aFleet,
                PeerTransport& aTransport,
                MembershipService& aMembership,
                BackendDispatcher& aDispatcher);

  void Start();
  void Stop();
  /// Updates the owned targets. Must be called when the inventory or the
  /// members of the own zone have changed.
  void UpdateOwners();
  /// Returns the requests in flight and connections that this instance still
  /// has at a target, for the target's new slot owner.
  peer::SlotHandoverReply HandleHandover(const peer::SlotHandover& aRequest);
  /// Releases all owned targets. Requests in flight continue.
  void ReleaseAll();
  /// Targets owned or being taken over.
  const std::set<TargetName>& Owned() const { return mOwned; }

private:
  struct Probe
  {
    bool mRunning = false;
    bool mDraining = false;
  };

  Awaitable<void> TimerLoop();
  Awaitable<void> ProbeTarget(TargetName aName);
  Awaitable<void> TakeOver(TargetName aName, uint64_t aView);
  Awaitable<void> PollFormerOwner(TargetName aName,
                                  uint64_t aView,
                                  InstanceInfo aOwner);
  Awaitable<void> Pause(Duration aTime);
  /// Returns the owner in the previous view; nothing if it is unknown or was
  /// this incarnation.
  std::optional<HomeMember> FormerOwner(const TargetName& aName) const;
  std::vector<InstanceInfo> MembersToQuery(
    const std::optional<HomeMember>& aFormer);
  void ReportLoads();
  bool IsOwner(const Target& aTarget) const;

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  PeerTransport& mTransport;
  MembershipService& mMembership;
  BackendDispatcher& mDispatcher;
  HttpClientPool mPool;
  std::map<TargetName, Probe> mProbes;
  /// Targets owned or being taken over.
  std::set<TargetName> mOwned;
  /// Last known incarnation and address of each instance of the zone.
  std::map<InstanceName, InstanceInfo> mLastKnown;
  bool mStopping = false;
};

} // namespace pollenway
