#pragma once

#include "ColdAdmission.h"
#include "CrashLedger.h"
#include "EvacuatedZones.h"
#include "EventLoopLag.h"
#include "FeedRelay.h"
#include "GatewayDirectory.h"
#include "GatewayFrontend.h"
#include "GatewaySettings.h"
#include "GatewayStatus.h"
#include "InstanceRegistry.h"
#include "InstanceTable.h"
#include "ObjectStore.h"
#include "PeerTransport.h"
#include "PlacementWatch.h"
#include "PlatformAdapter.h"
#include "ReceivedRevisions.h"
#include "RelayedStore.h"
#include "RemoteZones.h"
#include "StateFeed.h"
#include "SteadyTime.h"
#include "StorePosition.h"
#include "SummaryExchange.h"
#include "TargetReachability.h"
#include "TargetTable.h"
#include "UseSelection.h"
#include "WorkspaceQuota.h"
#include "ZoneDelegate.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace pollenway {

/// An entry instance that forwards requests directly to targets: connects the
/// core's objects to sockets, timers and the store.
class GatewayServer
{
public:
  GatewayServer(asio::io_context& aIo,
                GatewaySettings aSettings,
                ObjectStore& aStore,
                const PlatformAdapter& aPlatform);

  /// Binds all ports and starts serving. Returns an error if a port can't be
  /// bound.
  Result<void> Start();
  /// Starts a graceful shutdown: callers are directed to other instances,
  /// requests in flight finish, then the `io_context` stops.
  void Stop();
  /// Applies changed settings. Limits and seeds change immediately; a change of
  /// the instance's name, place or addresses needs a restart and is only
  /// logged.
  void Reload(const GatewaySettings& aSettings);
  uint16_t CallerPort() const { return mFrontend.Server().Port(); }
  uint16_t LookupPort() const { return mDirectory.LookupPort(); }
  uint16_t ReadyPort() const { return mDirectory.ReadyPort(); }
  /// Returns true if new callers should connect to this instance.
  bool IsReady() const;
  /// Returns true if look-ups and other instances should count on this
  /// instance's paths to targets.
  bool ReachesTargets() const
  {
    return mReachability.ReachesTargets(SteadyNow());
  }

private:
  /// Returns true for some time after the start, until the instance is ready.
  bool IsStarting() const;
  Awaitable<void> TickLoop();
  Awaitable<void> ProbeLoop();
  /// Removes the targets whose records were kept and have not come back.
  void ExpireTargets(TimePoint aNow);
  Awaitable<void> StopLoop();
  Awaitable<void> Pause(Duration aTime);
  /// Pauses and measures how late the event loop resumes.
  Awaitable<void> PauseMeasured(Duration aTime);
  Awaitable<void> PauseUntil(TimePoint aTime);
  void Tick();
  /// Sends the next summary immediately, unless the last one was just sent.
  void RequestEarlyTick();
  /// Reports to the other instances without delay that this one has lost its
  /// paths to targets, or has them back.
  void ReportReachability(TimePoint aNow);
  void LogReachability(TimePoint aNow) const;
  /// Returns the other instances that can forward requests, nearest first.
  std::vector<RelayCandidate> RelayCandidates(TimePoint aNow) const;
  /// Returns true if the next attempt should be sent directly to a target.
  bool UsesDirectPath(TimePoint aNow);
  /// Makes the targets of the table known to `mReachability`.
  void UpdateReachability();
  /// As a delegate of the zone, sends the sums over its instances to the other
  /// zones, and those over the other zones to its instances.
  void SendDigests(TimePoint aNow);
  /// Returns this instance's position among the delegates of its zone.
  std::optional<size_t> DelegatePosition() const;
  void LogPeerChanges(TimePoint aNow);
  void OnSummary(const InstanceSummary& aSummary);
  void OnDigest(const FleetDigest& aDigest);
  void ExpectRevisions(StorePosition aConfiguration,
                       StorePosition aTargets,
                       StorePosition aEvacuations);
  void UpdatePlan(TimePoint aNow);
  /// Logs notable changes of the plan. `aDemandAge` is the age of the oldest
  /// summary that it is computed from.
  void LogPlanChanges(size_t aZones, Duration aDemandAge, TimePoint aNow);
  void OnConfiguration(const std::string& aValue, uint64_t aRevision);
  /// `aVersion` is the version of the store's object.
  void OnTarget(const std::string& aName,
                const std::optional<std::string>& aValue,
                uint64_t aVersion);
  void LogOutdatedRecord(const RegisteredTarget& aRecord,
                         const NewestTargetRecords::Newest& aNewest) const;
  void OnTargetListing(const StoreListing& aListing);
  void OnEvacuationListing(const StoreListing& aListing);
  void OnEvacuation(const StoreChange& aChange);
  void SetEvacuated(std::set<ZoneName> aZones);
  /// Returns the time until which a target whose record expired during an
  /// outage of the store, or is missing in a restored store, is kept; a time in
  /// the past if there was neither.
  TimePoint ExpiredRecordsKeptUntil() const;
  Duration ColdStartOf(const ServiceName& aService) const;
  InstanceSummary MakeSummary();
  StateFeed::Options FeedOptions(const std::string& aKind);
  std::optional<IpEndpoint> FindReader() const;
  std::function<void()> UnreliableReaderCallback(const std::string& aKind);
  /// Makes a feed available to the other instances of the zone.
  void RelayFeed(const std::string& aKind, StateFeed& aFeed);
  /// Checks the watches at the store, because they may have gone silent. Those
  /// at the zone's reader are left alone: the reader checks its own.
  void CheckWatches();
  /// Returns true if the watch of a kind, at the store, may have missed a
  /// change up to `aReached`, a position that the store has reached.
  bool MayHaveMissed(const std::string& aKind, StorePosition aReached) const;
  /// Checks the watches that may have missed a change up to `aReached`, after
  /// the time in which changes are delivered.
  Awaitable<void> CheckWatchesUpTo(StorePosition aReached);
  Awaitable<std::optional<PeerBody>> OnPeerMessage(PeerMessage aMessage);

  asio::io_context& mIo;
  GatewaySettings mSettings;
  ObjectStore& mStore;
  const PlatformAdapter& mPlatform;
  uint64_t mIncarnation;
  TimePoint mStartedAt;
  std::shared_ptr<const RoutingTable> mTable;
  TargetTable mTargets;
  EvacuatedZones mEvacuatedZones;
  /// The instances of the own zone, and what is known of the other zones.
  InstanceTable mInstances;
  RemoteZones mRemoteZones;
  std::vector<ZoneDelegate> mDelegates;
  WorkspaceQuota mQuota;
  /// Reported in the next summary.
  std::vector<WorkspaceUse> mWorkspaceUses;
  ColdAdmission mCold;
  CrashLedger mCrashes;
  ServiceDemand mDemand;
  PlacementPlan mPlan;
  PlacementWatch mPlacementWatch;
  TargetReachability mReachability;
  EventLoopLag mLoopLag;
  GatewayFrontend mFrontend;
  GatewayDirectory mDirectory;
  SummaryExchange mSummaries;
  PeerTransport mPeers;
  RelayedStore mRelayedStore;
  StateFeed mConfigurationFeed;
  StateFeed mTargetFeed;
  StateFeed mEvacuationFeed;
  /// The feeds by kind.
  std::map<std::string, StateFeed*> mFeeds;
  ReceivedRevisions mReceivedRevisions;
  FeedRelay mRelay;
  GatewayStatus mStatus;
  InstanceRegistry mRegistry;
  UseSelection mZoneUseSelection;
  uint64_t mDigestSequence = 0;
  bool mNextDigestHasLists = false;
  TimePoint mTickedAt{};
  bool mIsEarlyTickPending = false;
  /// True if the zone's delegates, or those of other zones, should pass on the
  /// next report without delay.
  bool mIsNextSummaryUrgent = false;
  bool mIsNextDigestUrgent = false;
  /// What the last summary said.
  bool mReportedReachingTargets = true;
  /// Incarnations of the live instances as last logged.
  std::map<InstanceName, uint64_t> mLoggedLiveInstances;
  bool mStopping = false;
};

} // namespace pollenway
