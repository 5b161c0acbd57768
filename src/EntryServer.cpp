#include "EntryServer.h"

#include "Logger.h"
#include "SocketShares.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <random>

namespace pollenway {

namespace {

constexpr auto kLinkInterval = std::chrono::milliseconds(200);
/// A peer link is replaced if calls on it stay unanswered for this time.
constexpr auto kLinkSilenceTimeout = std::chrono::seconds(2);
constexpr auto kLeaveTimeout = std::chrono::seconds(10);
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);
constexpr auto kStopReportInterval = std::chrono::seconds(5);
/// Time before the end of the drain timeout at which the requests that are
/// still in progress are ended with an answer. It has to reach the caller
/// before the process ends.
constexpr auto kFinalAnswerTime = std::chrono::milliseconds(150);
/// Time until all instances know that an instance is leaving. Heartbeats report
/// it; they are sent every 500 ms and reach another zone through one of its
/// members.
constexpr auto kLeavePropagationTime = std::chrono::milliseconds(1500);

/// Descriptors for files, and the number of sockets if the system sets no
/// limit.
constexpr rlim_t kReservedDescriptors = 64;
constexpr size_t kDefaultMaxSockets = 65536;

FleetState MakeFleetState(EntrySettings aSettings)
{
  std::random_device device;
  const uint64_t randomNumber = (uint64_t(device()) << 32) | device();
  FleetState out;
  out.mSelf = { .mName = aSettings.mName,
                .mIncarnation = randomNumber,
                .mZone = aSettings.mZone,
                .mAddress = aSettings.mAddress,
                .mCallerPort = aSettings.mCallerPort,
                .mPeerPort = aSettings.mPeerPort,
                .mRelayPort = aSettings.mRelayPort };
  out.mRandom = Random(aSettings.mRandomSeed.value_or(randomNumber));
  out.mSettings = std::move(aSettings);
  return out;
}

StoreClient::Options MakeStoreOptions(FleetState& aFleet)
{
  StoreClient::Options options;
  const auto& platform = aFleet.mSettings.mPlatform;
  options.mEndpoint = { asio::ip::make_address(platform.mAddress),
                        platform.mPort };
  options.mSeed = aFleet.mRandom.Next();
  return options;
}

ForwarderOptions MakeForwarderOptions(const EntrySettings& aSettings)
{
  return { .mAnswerBufferBytes = aSettings.mMaxBufferedAnswerBytes };
}

/// Returns the number of descriptors that the process may use for sockets.
size_t MaxSockets()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kDefaultMaxSockets;
  }
  return limit.rlim_cur - std::min(limit.rlim_cur / 2, kReservedDescriptors);
}

} // namespace

EntryServer::EntryServer(asio::io_context& aIo, EntrySettings aSettings)
  : mIo(aIo)
  , mFleet(MakeFleetState(std::move(aSettings)))
  , mStore(aIo.get_executor(), MakeStoreOptions(mFleet))
  , mTransport(
      aIo.get_executor(),
      mFleet.mSelf,
      [this](PeerMessage aMessage) { return HandlePeer(std::move(aMessage)); })
  , mMembership(aIo.get_executor(),
                mFleet,
                mStore,
                mTransport,
                MembershipCallbacks())
  , mLimits(aIo.get_executor(), mFleet, mStore, mTransport, mMembership)
  , mHomes(aIo.get_executor(), mFleet, mStore, mTransport, mMembership)
  , mSteering(aIo.get_executor(), mFleet, mTransport, mMembership)
  , mDispatcher(aIo.get_executor(),
                mFleet,
                mTransport,
                MakeForwarderOptions(mFleet.mSettings))
  , mTargets(aIo.get_executor(), mFleet, mTransport, mMembership, mDispatcher)
  , mFrontend(aIo.get_executor(),
              mFleet,
              mMembership,
              mLimits,
              mHomes,
              mSteering,
              mDispatcher,
              MakeForwarderOptions(mFleet.mSettings))
  , mRelayServer(aIo.get_executor(), mFleet, mDispatcher)
  , mStateDump({ mFleet,
                 mMembership,
                 mLimits,
                 mHomes,
                 mDispatcher,
                 mTargets,
                 mFrontend,
                 mStore,
                 mTransport })
  , mAdmin(aIo.get_executor(),
           { mFleet.mSelf.mName, mFleet.mSelf.mZone },
           mFrontend.Observer().Decisions(),
           AdminCallbacks())
{
}

AdminServer::Callbacks EntryServer::AdminCallbacks()
{
  AdminServer::Callbacks out;
  out.mState = [this] { return mStateDump.State(SteadyNow()); };
  out.mMetrics = [this] { return mStateDump.Metrics(); };
  out.mWithdraw = [this](const KeyId& aKey) { mMembership.Withdraw(aKey); };
  out.mWithdrawalReport = [this] {
    return WithdrawalReportJson(mMembership.Table());
  };
  out.mDrain = [this] { Stop(); };
  return out;
}

MembershipService::Callbacks EntryServer::MembershipCallbacks()
{
  MembershipService::Callbacks out;
  out.mOnInventory = [this] {
    mFrontend.OnInventory();
    mSteering.OnInventory();
    mLimits.OnInventory();
    mTargets.UpdateOwners();
  };
  out.mOnDirectory = [this] { OnDirectory(); };
  out.mOnObject = [this](const StoreChange& aChange) { OnObject(aChange); };
  out.mOnRejoin = [this] {
    mLimits.OnRejoin();
    mHomes.OnRejoin();
    mSteering.OnRejoin();
    mTargets.ReleaseAll();
  };
  return out;
}

Result<void> EntryServer::Start()
{
  const SocketShares shares(MaxSockets());
  mFrontend.Server().SetMaxConnections(shares.mCallers);
  mRelayServer.Server().SetMaxConnections(shares.mRelayed);
  mAdmin.Server().SetMaxConnections(shares.mStatus);
  mTransport.SetMaxInboundLinks(shares.mPeers);
  BOOST_OUTCOME_TRYV(mFrontend.Listen());
  BOOST_OUTCOME_TRYV(mRelayServer.Listen());
  BOOST_OUTCOME_TRYV(
    mAdmin.Listen(mFleet.mSettings.mAdminAddress, mFleet.mSettings.mAdminPort));
  BOOST_OUTCOME_TRYV(
    mTransport.Listen(mFleet.mSettings.mAddress, mFleet.mSettings.mPeerPort));
  mMembership.Start();
  mLimits.Start();
  mHomes.Start();
  mSteering.Start();
  mTargets.Start();
  Spawn(mIo, LinkLoop());
  Log(LogLevel::Info,
      "started",
      { { "instance", mFleet.mSelf.mName.Text() },
        { "zone", mFleet.mSelf.mZone.Text() },
        { "address", mFleet.mSelf.mAddress },
        { "caller_port", mFleet.mSelf.mCallerPort },
        { "incarnation", mFleet.mSelf.mIncarnation } });
  return outcome::success();
}

void EntryServer::OnDirectory()
{
  mLimits.UpdateOwners();
  mHomes.UpdateDirectory();
  mSteering.OnDirectory();
  mTargets.UpdateOwners();
}

void EntryServer::OnObject(const StoreChange& aChange)
{
  if (aChange.mKind == "allotment") {
    mLimits.OnAllotment(aChange.mName, *aChange.mValue);
  } else if (aChange.mKind == "homemap") {
    mHomes.OnHomeMap(*aChange.mValue);
  } else if (aChange.mKind == "release") {
    const auto value = nlohmann::json::parse(*aChange.mValue, nullptr, false);
    if (value.is_object() && value.contains("incarnation") &&
        value["incarnation"].is_number_unsigned()) {
      mMembership.OnReleased(InstanceName(aChange.mName),
                             value["incarnation"].get<Incarnation>());
    }
  }
}

Awaitable<std::optional<PeerBody>> EntryServer::HandlePeer(PeerMessage aMessage)
{
  std::optional<PeerBody> out;
  if (std::holds_alternative<peer::Admit>(aMessage.mBody)) {
    out = co_await mLimits.HandleAdmit(std::move(aMessage));
  } else if (const auto* account =
               std::get_if<peer::AccountHandover>(&aMessage.mBody)) {
    out = mLimits.HandleHandover(*account);
  } else if (const auto* slots =
               std::get_if<peer::SlotHandover>(&aMessage.mBody)) {
    out = mTargets.HandleHandover(*slots);
  } else if (const auto* steering =
               std::get_if<peer::Steering>(&aMessage.mBody)) {
    out = mSteering.HandleSummary(*steering);
  } else if (const auto* crash =
               std::get_if<peer::CrashSuspect>(&aMessage.mBody)) {
    mDispatcher.Quarantine().OnCrash(crash->mReport, SteadyNow());
  } else if (const auto* cleared =
               std::get_if<peer::CrashCleared>(&aMessage.mBody)) {
    mDispatcher.Quarantine().OnCleared(cleared->mRequest);
  } else if (std::holds_alternative<peer::Home>(aMessage.mBody)) {
    mHomes.HandleMessage(aMessage);
  } else if (auto* changed =
               std::get_if<peer::ObjectChanged>(&aMessage.mBody)) {
    mMembership.OnWatchNotice();
    OnObject({ changed->mKind,
               changed->mName,
               changed->mVersion,
               std::move(changed->mValue) });
  } else {
    mMembership.Handle(aMessage);
  }
  co_return out;
}

Awaitable<void> EntryServer::LinkLoop()
{
  asio::steady_timer timer(mIo);
  for (;;) {
    mTransport.CloseSilentLinks(kLinkSilenceTimeout);
    mFrontend.ObserveLoads();
    timer.expires_after(kLinkInterval);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }
}

void EntryServer::Stop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  Log(LogLevel::Info,
      "stopping",
      { { "busy_connections", mFrontend.Server().BusyConnections() } });
  Spawn(mIo, StopLoop());
}

Awaitable<bool> EntryServer::WaitUntil(std::function<bool()> aCondition,
                                       TimePoint aLimit)
{
  asio::steady_timer timer(mIo);
  while (!aCondition()) {
    if (SteadyNow() >= aLimit) {
      co_return false;
    }
    timer.expires_after(kStopPollInterval);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }
  co_return true;
}

Awaitable<void> EntryServer::StopLoop()
{
  const TimePoint limit =
    SteadyNow() + mFleet.mSettings.mDrainTimeout - kFinalAnswerTime;
  mFrontend.Requests().LimitTime(limit);
  mRelayServer.Requests().LimitTime(limit);
  // Heartbeats report that this instance leaves, and other instances take over
  // what it owns. Meanwhile it still serves callers whose look-up answer lists
  // it.
  mFleet.mLeaving = true;
  mTargets.ReleaseAll();
  mMembership.BeginLeave();
  const bool hasLeft = co_await WaitUntil(
    [this] { return mMembership.IsEnded(); }, SteadyNow() + kLeaveTimeout);
  if (!hasLeft) {
    Log(LogLevel::Warn, "leave_unconfirmed", {});
  }
  Duration ttl{};
  if (mFleet.mInventory) {
    for (const auto& it : mFleet.mInventory->mServices) {
      ttl = std::max(ttl, it.mLookupTtl);
    }
  }
  // Look-up answers of other instances list this instance too, so callers may
  // use it for longer than the TTL of its own last answer.
  const TimePoint lastAnswerExpiresAt =
    SteadyNow() + kLeavePropagationTime + ttl;
  co_await WaitUntil([&] { return SteadyNow() >= lastAnswerExpiresAt; }, limit);
  mFrontend.Server().StopGracefully();
  TimePoint nextReport = SteadyNow() + kStopReportInterval;
  const auto isDrained = [&] {
    return mFrontend.Server().BusyConnections() == 0 &&
           mRelayServer.Server().BusyConnections() == 0 &&
           mHomes.OpenReports() == 0;
  };
  const bool drained = co_await WaitUntil(
    [&] {
      if (SteadyNow() >= nextReport) {
        nextReport += kStopReportInterval;
        Log(LogLevel::Info,
            "stop_waits",
            { { "busy_connections", mFrontend.Server().BusyConnections() },
              { "busy_relays", mRelayServer.Server().BusyConnections() },
              { "open_reports", mHomes.OpenReports() } });
      }
      return isDrained();
    },
    limit);
  if (!drained) {
    Log(LogLevel::Warn,
        "drain_timeout",
        { { "busy_connections", mFrontend.Server().BusyConnections() } });
    mFrontend.Requests().EndAll();
    mRelayServer.Requests().EndAll();
    co_await WaitUntil(isDrained, SteadyNow() + kFinalAnswerTime);
  }
  mFrontend.Server().Abort();
  mRelayServer.Server().Abort();
  mAdmin.Server().Abort();
  Log(LogLevel::Info, "stopped", {});
  mIo.stop();
}

} // namespace pollenway
