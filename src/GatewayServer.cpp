#include "GatewayServer.h"

#include "HashOf.h"
#include "Logger.h"
#include "RelayPeers.h"
#include "SocketShares.h"
#include "Spawn.h"
#include "SteadyTime.h"
#include "StopSchedule.h"
#include "ZoneDelegates.h"
#include "ZoneSum.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// Interval between summaries to the other instances. Three lost summaries in a
/// row stay within the time after which an instance counts as silent.
constexpr Duration kTickInterval = 500ms;
/// Minimum time between two summaries when one is sent early.
constexpr Duration kMinTickInterval = 120ms;
/// Interval at which it is checked whether a target should be tested, and
/// whether the record of one that is gone is still kept.
constexpr Duration kProbePollInterval = 50ms;
/// Without a path to new connections, answers on open ones are awaited for this
/// time before a repeatable request is sent through another instance.
constexpr Duration kMaxAnswerDelay = 300ms;
constexpr Duration kStopPollInterval = 50ms;
constexpr Duration kFinalPollInterval = 10ms;
/// Time for which a stopping process that was held up reads the answers that
/// have arrived meanwhile, before it ends the requests.
constexpr Duration kLateReadTime = 50ms;
/// A link to a peer with a pending call is replaced after this time without an
/// answer. Calls wait up to two seconds for a change.
constexpr Duration kPeerSilenceTimeout = 3500ms;
/// Maximum wait of a watch of the configuration, and of the other kinds. Each
/// answer to the short watch tells the store's revision, which shows whether a
/// longer one may have missed a change. So no watch is silent for longer than
/// the short one can be without being noticed.
constexpr Duration kConfigurationWatchTime = 1200ms;
constexpr Duration kMaxWatchTime = 25s;
/// Time in which each watch delivers the changes up to a revision that the
/// store has reached: the batch delay and some calls. A watch that has not done
/// so is checked, unless it began less than the minimum time ago: its answer
/// may be on the way.
constexpr Duration kDeliveryTime = 500ms;
constexpr Duration kMinCheckedAge = 400ms;
/// Maximum time from the loss of the paths to all targets until it is noticed:
/// connections without a path are lost 2.5 s after data was sent at the latest.
constexpr Duration kPathLossDetectionTime = 3s;
/// Frames from other instances that have arrived in part may use the memory
/// divided by this number.
constexpr uint64_t kFrameMemoryDivisor = 16;
/// Time after the start in which an instance is expected to become ready.
constexpr Duration kStartingTime = 5s;

/// Returns the current time in microseconds as the incarnation of this process.
/// Two incarnations don't start within the same microsecond. If the clock was
/// set back, the other instances accept the new incarnation only after they
/// have removed the old one.
uint64_t MakeIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return uint64_t(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

/// Returns the maximum wait of a watch. While one waits, its position does not
/// move. If the store's history then begins later, because of changes of other
/// kinds, the watch is refused, and all instances of the zone list the objects
/// at the same time.
Duration WatchTime(Duration aHistoryTime)
{
  return std::clamp<Duration>(
    aHistoryTime * 3 / 4, kConfigurationWatchTime, kMaxWatchTime);
}

std::vector<IpEndpoint> SeedEndpoints(const GatewaySettings& aSettings)
{
  std::vector<IpEndpoint> out;
  for (const auto& it : aSettings.mSeedAddresses) {
    out.push_back({ it, aSettings.mPeerPort });
  }
  return out;
}

} // namespace

GatewayServer::GatewayServer(asio::io_context& aIo,
                             GatewaySettings aSettings,
                             ObjectStore& aStore,
                             const PlatformAdapter& aPlatform)
  : mIo(aIo)
  , mSettings(std::move(aSettings))
  , mStore(aStore)
  , mPlatform(aPlatform)
  , mIncarnation(MakeIncarnation())
  , mStartedAt(SteadyNow())
  , mTargets(mSettings.mRegionOf)
  , mInstances(mSettings.mName, mSettings.mZone)
  , mRemoteZones(mSettings.mName, mIncarnation, mSettings.mZone)
  , mQuota({ .mWindow = mSettings.mBounds.mRateWindow,
             .mOverage = mSettings.mBounds.mRateOverage,
             .mSlack = mSettings.mBounds.mRateSlack,
             .mSeed = mIncarnation },
           mSettings.mIsFirstStart)
  , mCold(mSettings.mName, mSettings.mZone, mSettings.mRegion)
  , mDemand(SteadyNow())
  , mPlan(mSettings.mZone, mSettings.mRegionOf)
  , mReachability(HashOf({ mSettings.mName.Text() }) ^ mIncarnation)
  , mFrontend(
      aIo.get_executor(),
      { mSettings,
        mPlatform,
        mTargets,
        mQuota,
        mCold,
        mCrashes,
        mDemand,
        mPlan,
        mReachability,
        { [this] { return UsesDirectPath(SteadyNow()); },
          [this] { return RelayCandidates(SteadyNow()); } },
        [this] { return !mStopping && !mReachability.IsIsolated(SteadyNow()); },
        [this](TimePoint aNow) { return mLoopLag.Current(aNow); } })
  , mDirectory(aIo.get_executor(),
               { mSettings,
                 mPlatform,
                 mInstances,
                 mRemoteZones,
                 [this] { return IsReady(); },
                 [this] { return ReachesTargets(); } })
  , mSummaries(
      aIo.get_executor(),
      mInstances,
      { .mSelf = { mSettings.mAddress, mSettings.mPeerPort },
        .mZone = mSettings.mZone,
        .mSeeds = SeedEndpoints(mSettings) },
      { [this] { return MakeSummary(); },
        [this](const InstanceSummary& aSummary) { OnSummary(aSummary); },
        [this](const FleetDigest& aDigest) { OnDigest(aDigest); } })
  , mPeers(aIo.get_executor(),
           { .mName = mSettings.mName,
             .mIncarnation = mIncarnation,
             .mZone = mSettings.mZone,
             .mAddress = mSettings.mAddress,
             .mPeerPort = mSettings.mPeerPort },
           [this](PeerMessage aMessage) {
             return OnPeerMessage(std::move(aMessage));
           })
  , mRelayedStore(
      aIo.get_executor(),
      mStore,
      mPeers,
      [this] { return FindReader(); },
      { .mListDiscoveryTime = mSettings.mIsFirstStart
                                ? RelayedStore::kFirstDiscoveryTime
                                : RelayedStore::kRestartDiscoveryTime })
  , mConfigurationFeed(
      aIo.get_executor(),
      mStore,
      mRelayedStore,
      FeedOptions(mPlatform.Names().mConfigurationKind),
      { [this](const StoreListing& aListing) {
         for (const auto& it : aListing.mObjects) {
           if (it.mName == mPlatform.Names().mConfigurationName) {
             OnConfiguration(it.mValue, it.mVersion);
           }
         }
       },
        [this](const StoreChange& aChange) {
          if (aChange.mName == mPlatform.Names().mConfigurationName &&
              aChange.mValue) {
            OnConfiguration(*aChange.mValue, aChange.mVersion);
          }
        },
        UnreliableReaderCallback(mPlatform.Names().mConfigurationKind) })
  , mTargetFeed(
      aIo.get_executor(),
      mStore,
      mRelayedStore,
      FeedOptions(mPlatform.Names().mTargetKind),
      { [this](const StoreListing& aListing) { OnTargetListing(aListing); },
        [this](const StoreChange& aChange) {
          OnTarget(aChange.mName, aChange.mValue, aChange.mVersion);
        },
        UnreliableReaderCallback(mPlatform.Names().mTargetKind) })
  , mEvacuationFeed(
      aIo.get_executor(),
      mStore,
      mRelayedStore,
      FeedOptions(mPlatform.Names().mEvacuationKind),
      { [this](const StoreListing& aListing) { OnEvacuationListing(aListing); },
        [this](const StoreChange& aChange) { OnEvacuation(aChange); },
        UnreliableReaderCallback(mPlatform.Names().mEvacuationKind) })
  , mRelay(aIo.get_executor(),
           [this](const std::string& aKind) {
             return mRelayedStore.IsReading(aKind);
           })
  , mStatus(aIo.get_executor(),
            { mFrontend,
              mTargets,
              mInstances,
              mRemoteZones,
              mQuota,
              mReachability,
              mLoopLag,
              mConfigurationFeed,
              mTargetFeed,
              mEvacuationFeed,
              [this] { return mTable.get(); },
              [this] { return IsReady(); } })
  , mRegistry(aIo.get_executor(),
              mStore,
              { .mKind = mPlatform.Names().mInstanceKind,
                .mZone = mSettings.mZone,
                .mSelf = { mSettings.mAddress, mSettings.mPeerPort },
                .mIsFirstStart = mSettings.mIsFirstStart },
              { [this] { return DelegatePosition(); },
                [this] {
                  return !mSummaries.HasHeardAny() ||
                         mRemoteZones.IsAnyZoneLost(SteadyNow());
                },
                [this](const InstanceRoster& aRoster) {
                  mSummaries.AddRoster(aRoster);
                },
                [this] { return mTargetFeed.RestoredAt(); } })
{
  const SocketShares shares(mSettings.mMaxSockets);
  mPeers.SetMaxInboundLinks(shares.mPeers);
  mPeers.SetFrameMemory(mSettings.mMemoryBytes / kFrameMemoryDivisor);
  mStatus.SetMaxConnections(shares.mStatus);
  const auto& names = mPlatform.Names();
  RelayFeed(names.mConfigurationKind, mConfigurationFeed);
  RelayFeed(names.mTargetKind, mTargetFeed);
  RelayFeed(names.mEvacuationKind, mEvacuationFeed);
  mQuota.OnSurge([this] {
    mIsNextSummaryUrgent = true;
    mIsNextDigestUrgent = true;
    RequestEarlyTick();
  });
  mQuota.OnZoneSurge([this] {
    if (DelegatePosition()) {
      mIsNextDigestUrgent = true;
      RequestEarlyTick();
    }
  });
  mReachability.OnChanged([this] {
    const TimePoint now = SteadyNow();
    if (mReachability.IsIsolated(now)) {
      mCrashes.DiscardSince(now - kPathLossDetectionTime);
    }
    LogReachability(now);
    ReportReachability(now);
  });
  mTargets.OnRemoved([this](const RegisteredTarget& aTarget) {
    mFrontend.DropConnections(aTarget);
    mFrontend.OnTargetRemoved(aTarget.mName);
    mCold.Remove(aTarget.mName);
    mReachability.Remove(aTarget.mName);
    Log(LogLevel::Info,
        "target_removed",
        { { "target", aTarget.mName.Text() },
          { "service", aTarget.mService.Text() },
          { "revision", mTargetFeed.Revision() } });
  });
  mTargets.OnOutdated([this](const RegisteredTarget& aRecord,
                             const NewestTargetRecords::Newest& aNewest) {
    LogOutdatedRecord(aRecord, aNewest);
  });
}

std::function<void()> GatewayServer::UnreliableReaderCallback(
  const std::string& aKind)
{
  return [this, aKind] { mRelayedStore.MarkUnreliable(aKind); };
}

void GatewayServer::RelayFeed(const std::string& aKind, StateFeed& aFeed)
{
  mRelay.Add(aKind, aFeed);
  mFeeds[aKind] = &aFeed;
  aFeed.OnReturned([this] { CheckWatches(); });
  aFeed.OnOverdue([this, aKind] {
    // A watch at the zone's reader ends by itself when the reader is silent.
    if (mRelayedStore.IsReading(aKind)) {
      mRelay.WakeAll();
      CheckWatches();
    }
  });
  aFeed.OnReached([this, &aFeed](StorePosition aPosition,
                                 const std::vector<StoreChange>& aChanges) {
    for (const auto& it : aChanges) {
      mReceivedRevisions.Add({ aPosition.mEra, it.mVersion });
    }
    // The answers to the short watch are often enough.
    if (&aFeed == &mConfigurationFeed &&
        std::ranges::any_of(mFeeds, [&](const auto& aEntry) {
          return MayHaveMissed(aEntry.first, aPosition);
        })) {
      Spawn(mIo, CheckWatchesUpTo(aPosition));
    }
  });
  aFeed.OnAdvanced([this, aKind] {
    mRelay.WakeAll();
    // Instances whose reader has gone silent learn of the change from the
    // summaries of other instances.
    if (mRelayedStore.IsReading(aKind)) {
      RequestEarlyTick();
    }
  });
}

bool GatewayServer::MayHaveMissed(const std::string& aKind,
                                  StorePosition aReached) const
{
  return mRelayedStore.IsReading(aKind) &&
         !mReceivedRevisions.Cover(mFeeds.at(aKind)->Position(), aReached);
}

Awaitable<void> GatewayServer::CheckWatchesUpTo(StorePosition aReached)
{
  co_await Pause(kDeliveryTime);
  for (const auto& [kind, feed] : mFeeds) {
    if (MayHaveMissed(kind, aReached)) {
      feed->CheckWatch(kMinCheckedAge);
    }
  }
}

void GatewayServer::CheckWatches()
{
  for (const auto& [kind, feed] : mFeeds) {
    if (mRelayedStore.IsReading(kind)) {
      feed->CheckWatch();
    }
  }
}

StateFeed::Options GatewayServer::FeedOptions(const std::string& aKind)
{
  // In a new deployment nothing has been removed yet.
  return { .mKind = aKind,
           .mWatchTimeout = aKind == mPlatform.Names().mConfigurationKind
                              ? kConfigurationWatchTime
                              : WatchTime(mSettings.mStoreHistoryTime),
           .mFirstListing = mSettings.mIsFirstStart ? ReadFreshness::MayBeStale
                                                    : ReadFreshness::Current,
           .mSeed = HashOf({ mSettings.mName.Text(), aKind }) ^ mIncarnation };
}

Result<void> GatewayServer::Start()
{
  BOOST_OUTCOME_TRYV(mFrontend.Listen());
  BOOST_OUTCOME_TRYV(mDirectory.Listen());
  BOOST_OUTCOME_TRYV(mSummaries.Listen());
  BOOST_OUTCOME_TRYV(mPeers.Listen(mSettings.mAddress, mSettings.mPeerPort));
  BOOST_OUTCOME_TRYV(mStatus.Listen(mSettings.mMetricsEndpoint.mAddress,
                                    mSettings.mMetricsEndpoint.mPort));
  mConfigurationFeed.Start();
  mTargetFeed.Start();
  mEvacuationFeed.Start();
  mRegistry.Start();
  Spawn(mIo, TickLoop());
  Spawn(mIo, ProbeLoop());
  Log(LogLevel::Info,
      "started",
      { { "instance", mSettings.mName.Text() },
        { "zone", mSettings.mZone.Text() },
        { "address", mSettings.mAddress },
        { "run", mIncarnation } });
  return outcome::success();
}

bool GatewayServer::IsReady() const
{
  return !mStopping && mTable && mTargetFeed.HasListing() &&
         mEvacuationFeed.HasListing();
}

bool GatewayServer::IsStarting() const
{
  return !mStopping && !IsReady() && SteadyNow() - mStartedAt < kStartingTime;
}

std::optional<IpEndpoint> GatewayServer::FindReader() const
{
  const auto delegates = ChooseDelegates(
    mInstances,
    { mSettings.mName, { mSettings.mAddress, mSettings.mPeerPort } },
    IsReady() || IsStarting(),
    SteadyNow());
  if (delegates.front().mName == mSettings.mName) {
    return std::nullopt;
  }
  return delegates.front().mPeer;
}

std::optional<size_t> GatewayServer::DelegatePosition() const
{
  for (size_t n = 0; n < mDelegates.size(); ++n) {
    if (mDelegates[n].mName == mSettings.mName) {
      return n;
    }
  }
  return std::nullopt;
}

Awaitable<std::optional<PeerBody>> GatewayServer::OnPeerMessage(
  PeerMessage aMessage)
{
  const auto* request = std::get_if<peer::ReadObjects>(&aMessage.mBody);
  if (!request) {
    co_return std::nullopt;
  }
  co_return co_await mRelay.Answer(*request);
}

Awaitable<void> GatewayServer::Pause(Duration aTime)
{
  asio::steady_timer timer(mIo, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

Awaitable<void> GatewayServer::PauseMeasured(Duration aTime)
{
  mLoopLag.OnSet(SteadyNow() + aTime);
  co_await Pause(aTime);
  if (const auto lag = mLoopLag.OnRun(SteadyNow())) {
    Log(LogLevel::Warn,
        "event_loop_late",
        { { "max_ms", int64_t(ToSeconds(*lag) * 1000) },
          { "requests", mFrontend.CountActiveRequests() } });
  }
}

Awaitable<void> GatewayServer::PauseUntil(TimePoint aTime)
{
  co_await Pause(std::max<Duration>(aTime - SteadyNow(), Duration::zero()));
}

Awaitable<void> GatewayServer::TickLoop()
{
  for (;;) {
    Tick();
    co_await Pause(kTickInterval);
  }
}

void GatewayServer::ExpireTargets(TimePoint aNow)
{
  for (const auto& it : mTargets.Expire(aNow)) {
    Log(LogLevel::Info, "target_record_renewed", { { "target", it.Text() } });
  }
}

Awaitable<void> GatewayServer::ProbeLoop()
{
  for (;;) {
    const TimePoint now = SteadyNow();
    ExpireTargets(now);
    while (const auto name = mReachability.NextProbe(now)) {
      if (const auto target = mTargets.Find(*name)) {
        Spawn(mIo, mFrontend.ProbeTarget(target->Record()));
      }
    }
    // The report may follow a change with a delay, or have come too soon after
    // the last one.
    ReportReachability(now);
    if (mReachability.IsIsolated(now) && !RelayCandidates(now).empty()) {
      mFrontend.LeaveDirectPath(now - kMaxAnswerDelay);
    }
    co_await PauseMeasured(kProbePollInterval);
  }
}

std::vector<RelayCandidate> GatewayServer::RelayCandidates(TimePoint aNow) const
{
  return FindRelayCandidates(
    mInstances, mRemoteZones, mSettings.mZone, mSettings.mRegion, aNow);
}

bool GatewayServer::UsesDirectPath(TimePoint aNow)
{
  // Open connections may still work, so they are better than nothing.
  return mReachability.UseDirectPath(aNow) || RelayCandidates(aNow).empty();
}

void GatewayServer::ReportReachability(TimePoint aNow)
{
  if (mReachability.ReachesTargets(aNow) != mReportedReachingTargets) {
    mIsNextSummaryUrgent = true;
    mIsNextDigestUrgent = true;
    RequestEarlyTick();
  }
}

void GatewayServer::LogReachability(TimePoint aNow) const
{
  const auto& evidence = mReachability.LastEvidence();
  const auto peers = RelayCandidates(aNow);
  const auto milliseconds = [](Duration aTime) {
    return uint64_t(
      std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
  };
  if (mReachability.IsIsolated(aNow)) {
    Log(LogLevel::Warn,
        "targets_unreachable",
        { { "failed_targets", uint64_t(evidence.mFailedTargets) },
          { "failed_services", uint64_t(evidence.mFailedServices) },
          { "failed_zones", uint64_t(evidence.mFailedZones) },
          { "targets", uint64_t(mTargets.Size()) },
          { "since_connected_ms", milliseconds(evidence.mSinceConnected) },
          { "peers", uint64_t(peers.size()) } });
    return;
  }
  Log(LogLevel::Info,
      "targets_reachable",
      { { "connected_targets", uint64_t(evidence.mConnectedTargets) },
        { "targets", uint64_t(mTargets.Size()) },
        { "isolated_ms", milliseconds(evidence.mIsolatedFor) },
        { "peers", uint64_t(peers.size()) } });
}

void GatewayServer::UpdateReachability()
{
  for (const auto& service : mTargets.Services()) {
    for (const auto& it : mTargets.OfService(service)) {
      mReachability.Put(it->Record().mName, service, it->Record().mZone);
    }
  }
}

void GatewayServer::RequestEarlyTick()
{
  if (mIsEarlyTickPending || SteadyNow() - mTickedAt < kMinTickInterval) {
    return;
  }
  mIsEarlyTickPending = true;
  asio::post(mIo, [this] { Tick(); });
}

void GatewayServer::Tick()
{
  const TimePoint now = SteadyNow();
  mTickedAt = now;
  mIsEarlyTickPending = false;
  for (const auto& it : mInstances.Expire(now)) {
    mSummaries.AddContact(it);
  }
  UpdateReachability();
  mEvacuatedZones.Expire(now);
  SetEvacuated(mEvacuatedZones.InForce());
  mDelegates = ChooseDelegates(
    mInstances,
    { mSettings.mName, { mSettings.mAddress, mSettings.mPeerPort } },
    IsReady() || IsStarting(),
    now);
  mCold.SetInstances(mInstances, mDelegates, mRemoteZones, now);
  mCrashes.SetOtherZones(mRemoteZones.CrashCounts(now));
  mWorkspaceUses = mQuota.BeginInterval(mInstances, mRemoteZones, now);
  UpdatePlan(now);
  mFrontend.DropIdleConnections();
  mFrontend.ExpireAnnouncements(mTargetFeed.IsLost());
  mFrontend.SetInstanceCount(mInstances.CountKnown() +
                             mRemoteZones.CountKnown(now) + 1);
  mSummaries.Send();
  SendDigests(now);
  mPeers.CloseSilentLinks(kPeerSilenceTimeout);
  LogPeerChanges(now);
  mFrontend.Requests().LogSuppressed();
  FlushLogs();
}

void GatewayServer::OnSummary(const InstanceSummary& aSummary)
{
  const TimePoint now = SteadyNow();
  mQuota.OnReport(
    aSummary.mName, aSummary.mIncarnation, aSummary.mWorkspaceUses, now);
  mCrashes.OnReport(aSummary.mName, aSummary.mCrashCounts, now);
  ExpectRevisions(aSummary.mConfigurationPosition,
                  aSummary.mTargetPosition,
                  aSummary.mEvacuationPosition);
  if (aSummary.mIsUrgent && DelegatePosition()) {
    mIsNextDigestUrgent = true;
    RequestEarlyTick();
  }
}

void GatewayServer::ExpectRevisions(StorePosition aConfiguration,
                                    StorePosition aTargets,
                                    StorePosition aEvacuations)
{
  const TimePoint now = SteadyNow();
  mConfigurationFeed.ExpectVersion(aConfiguration, now);
  mTargetFeed.ExpectVersion(aTargets, now);
  mEvacuationFeed.ExpectVersion(aEvacuations, now);
}

void GatewayServer::OnDigest(const FleetDigest& aDigest)
{
  const TimePoint now = SteadyNow();
  mQuota.OnOtherZones(mRemoteZones.OnDigest(aDigest, now), now);
  if (aDigest.mHasStatus) {
    ExpectRevisions(aDigest.mConfigurationPosition,
                    aDigest.mTargetPosition,
                    aDigest.mEvacuationPosition);
  }
  if (aDigest.mScope != DigestScope::Zone) {
    return;
  }
  if (aDigest.mIsUrgent) {
    RequestEarlyTick();
  }
  // The sender does not know yet that this instance is no delegate.
  if (!DelegatePosition() && !aDigest.mIsForwarded && !mDelegates.empty()) {
    FleetDigest forwarded = aDigest;
    forwarded.mIsForwarded = true;
    mSummaries.ForwardDigest(forwarded, mDelegates.front().mPeer);
  }
}

void GatewayServer::SendDigests(TimePoint aNow)
{
  const bool isUrgent = std::exchange(mIsNextDigestUrgent, false);
  if (!DelegatePosition()) {
    return;
  }
  const auto setSender = [&](FleetDigest& aDigest) {
    aDigest.mSender = mSettings.mName;
    aDigest.mSenderZone = mSettings.mZone;
    aDigest.mIncarnation = mIncarnation;
    aDigest.mSequence = ++mDigestSequence;
  };
  auto remote = mRemoteZones.DelegateEndpoints();
  for (auto& it : mSummaries.EndpointsOf([&](const ZoneName& aZone) {
         const auto age = mRemoteZones.AgeOf(aZone, aNow);
         return !age || *age > RemoteZones::kSilenceTimeout;
       })) {
    remote.push_back(std::move(it));
  }
  if (!remote.empty()) {
    auto digest = SumZone(MakeSummary(), mInstances, mDelegates, aNow);
    digest.mCrashCounts = mCrashes.SumOfZone(aNow);
    digest.mUses = mZoneUseSelection.Select(mQuota.ZoneUses());
    setSender(digest);
    digest.mIsUrgent = isUrgent;
    mSummaries.SendDigest(digest, remote);
  }
  std::vector<IpEndpoint> zone;
  for (const auto& [name, peer] : mInstances.All()) {
    zone.push_back(peer.mSummary.mPeer);
  }
  if (!zone.empty() && !remote.empty()) {
    mNextDigestHasLists = !mNextDigestHasLists;
    auto digest = mRemoteZones.MakeOtherZonesDigest(mNextDigestHasLists, aNow);
    setSender(digest);
    mSummaries.SendDigest(digest, zone);
  }
}

void GatewayServer::LogPeerChanges(TimePoint aNow)
{
  std::map<InstanceName, uint64_t> live;
  for (const auto* it : mInstances.Live(aNow)) {
    live.emplace(it->mSummary.mName, it->mSummary.mIncarnation);
  }
  for (const auto& [name, incarnation] : live) {
    const auto known = mLoggedLiveInstances.find(name);
    if (known == mLoggedLiveInstances.end() || known->second != incarnation) {
      Log(LogLevel::Info,
          "instance_live",
          { { "peer", name.Text() }, { "run", incarnation } });
    }
  }
  for (const auto& [name, incarnation] : mLoggedLiveInstances) {
    if (!live.contains(name)) {
      Log(LogLevel::Warn,
          "instance_silent",
          { { "peer", name.Text() },
            { "run", incarnation },
            { "live", uint64_t(live.size()) } });
    }
  }
  mLoggedLiveInstances = std::move(live);
}

void GatewayServer::UpdatePlan(TimePoint aNow)
{
  mDemand.Update(aNow);
  std::map<ServiceName, PlacementPlan::ZoneDemand> demand;
  std::set<ServiceName> usedServices;
  for (const auto& it : mDemand.Rates()) {
    demand[it.mService][mSettings.mZone] += it.mRate;
    usedServices.insert(it.mService);
  }
  Duration demandAge{};
  size_t zones = 1;
  for (const auto* peer : mInstances.Live(aNow)) {
    demandAge = std::max(demandAge, aNow - peer->mLastReceivedAt);
    for (const auto& it : peer->mSummary.mServiceRates) {
      demand[it.mService][peer->mSummary.mZone] += it.mRate;
    }
  }
  for (const auto* zone : mRemoteZones.LiveZones(aNow)) {
    ++zones;
    demandAge = std::max(
      demandAge,
      mRemoteZones.AgeOf(zone->mZone, aNow).value_or(Duration::zero()));
    for (const auto& it : zone->mServiceRates) {
      demand[it.mService][zone->mZone] += it.mRate;
    }
  }
  mPlan.Update(mTargets, demand, usedServices, aNow);
  LogPlanChanges(zones, demandAge, aNow);
}

void GatewayServer::LogPlanChanges(size_t aZones,
                                   Duration aDemandAge,
                                   TimePoint aNow)
{
  for (const auto& service : mTargets.Services()) {
    const auto& shares = mPlan.SharesOf(service);
    const auto change = mPlacementWatch.OnUpdate(service, shares, aNow);
    if (!change) {
      continue;
    }
    Log(LogLevel::Info,
        "placement_changed",
        { { "service", service.Text() },
          { "before", Text(change->mBefore) },
          { "after", Text(change->mAfter) },
          { "moved", change->mMoved },
          { "region_demand", shares.mRegionDemand },
          { "total_demand", shares.mTotalDemand },
          { "region_slots", shares.mRegionSlots },
          { "total_slots", shares.mTotalSlots },
          { "zones", uint64_t(aZones) },
          { "demand_age_ms", int64_t(ToSeconds(aDemandAge) * 1000) } });
  }
}

InstanceSummary GatewayServer::MakeSummary()
{
  InstanceSummary out;
  out.mName = mSettings.mName;
  out.mIncarnation = mIncarnation;
  out.mZone = mSettings.mZone;
  out.mRegion = mSettings.mRegion;
  out.mCaller = mSettings.mCallerEndpoint;
  out.mReady = IsReady();
  out.mIsStarting = IsStarting();
  out.mReachesTargets = ReachesTargets();
  mReportedReachingTargets = out.mReachesTargets;
  out.mTableVersion = mTable ? mTable->Version() : 0;
  out.mConfigurationPosition = mConfigurationFeed.NewestVersion();
  out.mTargetPosition = mTargetFeed.NewestVersion();
  out.mEvacuationPosition = mEvacuationFeed.NewestVersion();
  out.mWorkspaceUses = mWorkspaceUses;
  out.mCrashCounts = mCrashes.Report(SteadyNow());
  out.mServiceRates = mDemand.Rates();
  out.mIsUrgent = std::exchange(mIsNextSummaryUrgent, false);
  return out;
}

void GatewayServer::OnConfiguration(const std::string& aValue,
                                    uint64_t aRevision)
{
  auto parts = mPlatform.ReadConfiguration(aValue);
  if (!parts) {
    Log(LogLevel::Error,
        "configuration_refused",
        { { "revision", aRevision },
          { "path", parts.error().mPath },
          { "reason", parts.error().mDetail } });
    return;
  }
  if (mTable && parts.value().mVersion <= mTable->Version()) {
    // Listings repeat the version in force.
    if (parts.value().mVersion < mTable->Version()) {
      Log(LogLevel::Warn,
          "configuration_outdated",
          { { "version", parts.value().mVersion },
            { "in_force", mTable->Version() },
            { "revision", aRevision } });
    }
    return;
  }
  mTable = std::make_shared<const RoutingTable>(std::move(parts.value()));
  mQuota.SetWorkspaces(mTable->Workspaces(), SteadyNow());
  std::vector<WorkspaceName> workspaces;
  for (const auto& it : mTable->Workspaces()) {
    workspaces.push_back(it.mName);
  }
  mSummaries.SetWorkspaces(workspaces);
  mFrontend.SetTable(mTable);
  Log(LogLevel::Info,
      "configuration_applied",
      { { "version", mTable->Version() },
        { "revision", aRevision },
        { "routes", mTable->Rules().size() },
        { "workspaces", mTable->Workspaces().size() } });
}

Duration GatewayServer::ColdStartOf(const ServiceName& aService) const
{
  const auto* service = mTable ? mTable->FindService(aService) : nullptr;
  return service ? service->mColdStart : Duration::zero();
}

TimePoint GatewayServer::ExpiredRecordsKeptUntil() const
{
  // Records that expired while the store was unavailable, or that its copy does
  // not have, are written again within this time after its return.
  const TimePoint returnedAt =
    std::max(mTargetFeed.OutageEndedAt(), mTargetFeed.RestoredAt());
  return returnedAt == TimePoint{}
           ? returnedAt
           : returnedAt + mSettings.mBounds.mRecordRecoveryTime;
}

void GatewayServer::OnTarget(const std::string& aName,
                             const std::optional<std::string>& aValue,
                             uint64_t aVersion)
{
  const TimePoint now = SteadyNow();
  const TargetName name(aName);
  if (!aValue) {
    mTargets.Remove(name, now, ExpiredRecordsKeptUntil());
    return;
  }
  auto record = mPlatform.ReadTarget(aName, *aValue);
  if (!record) {
    Log(LogLevel::Warn,
        "target_record_refused",
        { { "target", aName },
          { "path", record.error().mPath },
          { "reason", record.error().mDetail } });
    mTargets.Remove(name, now, now);
    return;
  }
  const bool isNew = !mTargets.Contains(name);
  const Duration coldStart = ColdStartOf(record.value().mService);
  const std::string service = record.value().mService.Text();
  record.value().mRecordVersion = aVersion;
  mTargets.Put(std::move(record.value()), now, coldStart);
  if (const auto* known = mTargets.FindRecord(name)) {
    mFrontend.OnTargetRecord(*known);
  }
  if (isNew && mTargets.Contains(name)) {
    Log(LogLevel::Info,
        "target_added",
        { { "target", aName },
          { "service", service },
          { "revision", mTargetFeed.Revision() } });
  }
}

void GatewayServer::LogOutdatedRecord(
  const RegisteredTarget& aRecord,
  const NewestTargetRecords::Newest& aNewest) const
{
  Log(LogLevel::Info,
      "target_record_outdated",
      { { "target", aRecord.mName.Text() },
        { "service", aRecord.mService.Text() },
        { "sequence", aRecord.mRecordSequence },
        { "newest_sequence", aNewest.mSequence },
        { "started_ms", aRecord.mStartedAtMs },
        { "newest_started_ms", aNewest.mStartedAtMs },
        { "revision", mTargetFeed.Revision() } });
}

void GatewayServer::OnTargetListing(const StoreListing& aListing)
{
  std::set<TargetName> names;
  for (const auto& it : aListing.mObjects) {
    names.insert(TargetName(it.mName));
    OnTarget(it.mName, it.mValue, it.mVersion);
  }
  mTargets.RetainOnly(names, SteadyNow(), ExpiredRecordsKeptUntil());
}

void GatewayServer::OnEvacuationListing(const StoreListing& aListing)
{
  std::set<ZoneName> zones;
  for (const auto& it : aListing.mObjects) {
    zones.insert(ZoneName(it.mName));
  }
  const auto kept =
    mEvacuatedZones.OnListing(std::move(zones),
                              SteadyNow(),
                              mEvacuationFeed.RestoredAt(),
                              mSettings.mBounds.mRecordRecoveryTime);
  for (const auto& it : kept) {
    Log(LogLevel::Info,
        "evacuation_kept",
        { { "zone", it.Text() }, { "revision", mEvacuationFeed.Revision() } });
  }
  SetEvacuated(mEvacuatedZones.InForce());
}

void GatewayServer::OnEvacuation(const StoreChange& aChange)
{
  mEvacuatedZones.OnChange(ZoneName(aChange.mName), aChange.mValue.has_value());
  SetEvacuated(mEvacuatedZones.InForce());
}

void GatewayServer::SetEvacuated(std::set<ZoneName> aZones)
{
  if (aZones == mTargets.EvacuatedZones()) {
    return;
  }
  std::string text;
  for (const auto& it : aZones) {
    text += (text.empty() ? "" : ",") + it.Text();
  }
  Log(LogLevel::Info,
      "evacuated_zones",
      { { "zones", text }, { "revision", mEvacuationFeed.Revision() } });
  mTargets.SetEvacuatedZones(std::move(aZones));
}

void GatewayServer::Reload(const GatewaySettings& aSettings)
{
  const bool needsRestart =
    aSettings.mName != mSettings.mName || aSettings.mZone != mSettings.mZone ||
    aSettings.mCallerEndpoint != mSettings.mCallerEndpoint ||
    aSettings.mLookupEndpoint != mSettings.mLookupEndpoint ||
    aSettings.mStoreEndpoint != mSettings.mStoreEndpoint;
  mSettings.mBounds = aSettings.mBounds;
  mSettings.mSeedAddresses = aSettings.mSeedAddresses;
  mSummaries.SetSeeds(SeedEndpoints(mSettings));
  Log(needsRestart ? LogLevel::Warn : LogLevel::Info,
      "settings_reloaded",
      { { "needs_restart", needsRestart ? "yes" : "no" },
        { "seeds", uint64_t(mSettings.mSeedAddresses.size()) } });
}

void GatewayServer::Stop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  Log(LogLevel::Info,
      "stopping",
      { { "busy_connections", mFrontend.BusyConnections() } });
  Spawn(mIo, StopLoop());
}

Awaitable<void> GatewayServer::StopLoop()
{
  const auto schedule = MakeStopSchedule(mSettings.mBounds.mStopGrace);
  const TimePoint begin = SteadyNow();
  // A target that knows the time left turns a request away that it can't start,
  // instead of holding it until the process ends.
  mFrontend.LimitRequests(begin + schedule.mTargetDeadline);
  // The other instances stop listing this one in look-ups when they receive
  // this summary.
  mSummaries.Send();
  mFrontend.EndConnectionsAfterAnswers();
  co_await PauseUntil(begin + schedule.mCallersServed);
  mFrontend.StopGracefully();
  const TimePoint endRequestsAt = begin + schedule.mRequestsEnded;
  while (SteadyNow() < endRequestsAt && mFrontend.BusyConnections() > 0) {
    co_await PauseUntil(
      std::min(SteadyNow() + kStopPollInterval, endRequestsAt));
  }
  if (SteadyNow() - endRequestsAt > kFinalPollInterval) {
    const TimePoint readUntil = SteadyNow() + kLateReadTime;
    while (SteadyNow() < readUntil && mFrontend.BusyConnections() > 0) {
      co_await Pause(kFinalPollInterval);
    }
  }
  // A process that was delayed still needs a turn in which answers are written.
  const TimePoint limit =
    std::max(begin + schedule.mProcessEnds, SteadyNow() + kFinalPollInterval);
  while (mFrontend.BusyConnections() > 0) {
    mFrontend.EndRequests();
    co_await Pause(kFinalPollInterval);
    if (SteadyNow() >= limit) {
      break;
    }
  }
  mFrontend.LogCutRequests();
  Log(LogLevel::Info,
      "stopped",
      { { "cut_requests", uint64_t(mFrontend.CountActiveRequests()) } });
  FlushLogs();
  mIo.stop();
}

} // namespace pollenway
