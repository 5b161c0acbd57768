#pragma once

#include "BackendDispatcher.h"
#include "MembershipService.h"

#include <map>
#include <set>

namespace pollenway {

/// Keeps the targets whose slot owner this instance is: takes them over when
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
  /// Call when the inventory or the members of the own zone changed.
  void UpdateOwners();
  /// A new slot owner asks what this instance still holds of a target.
  peer::SlotHandoverReply HandleHandover(const peer::SlotHandover& aRequest);
  /// Stops owning all targets; requests in flight go on.
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
  /// Owner by the view before this one; nothing if that was this run.
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
  /// Last known address of each instance of the zone.
  std::map<InstanceName, InstanceInfo> mLastKnown;
  bool mStopping = false;
};

} // namespace pollenway
