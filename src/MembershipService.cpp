#include "MembershipService.h"

#include "InventoryReader.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <charconv>

namespace pollenway {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(100);
/// Duration of a watch call. Each zone has one watch, so that an idle fleet
/// makes few store calls.
constexpr auto kWatchTimeout = std::chrono::seconds(60);
constexpr auto kWatchHolderCheckInterval = std::chrono::seconds(1);
/// Interval at which the holder of the watch notifies its zone. A member opens
/// a watch of its own after `kWatchNoticeTimeout` without a notice plus
/// `kWatchDelayPerRank` for each member before it in the view.
constexpr auto kWatchNoticeInterval = std::chrono::seconds(2);
constexpr auto kWatchNoticeTimeout = std::chrono::seconds(6);
constexpr auto kWatchDelayPerRank = std::chrono::seconds(3);
constexpr auto kPlatformListInterval = std::chrono::seconds(60);
constexpr auto kMinRetryDelay = std::chrono::milliseconds(200);

constexpr char kViewKind[] = "zoneview";
constexpr char kConfigurationKind[] = "configuration";

MembershipTable::Options TableOptions(const FleetState& aFleet, uint64_t aSeed)
{
  MembershipTable::Options options;
  const auto& self = aFleet.mSelf;
  options.mZone.mZone = self.mZone;
  options.mZone.mSelf.mName = self.mName;
  options.mZone.mSelf.mIncarnation = self.mIncarnation;
  options.mZone.mSelf.mAddress = self.mAddress;
  options.mZone.mSelf.mEntryPort = self.mCallerPort;
  options.mZone.mSelf.mPeerPort = self.mPeerPort;
  options.mZone.mSelf.mRelayPort = self.mRelayPort;
  options.mZone.mSeed = aSeed;
  return options;
}

std::vector<InstanceInfo> MembersOf(const ZoneView& aView)
{
  std::vector<InstanceInfo> out;
  for (const auto& it : aView.mMembers) {
    InstanceInfo info;
    info.mName = it.mName;
    info.mIncarnation = it.mIncarnation;
    info.mZone = aView.mZone;
    info.mAddress = it.mAddress;
    info.mCallerPort = it.mEntryPort;
    info.mPeerPort = it.mPeerPort;
    info.mRelayPort = it.mRelayPort;
    out.push_back(std::move(info));
  }
  return out;
}

} // namespace

MembershipService::MembershipService(asio::any_io_executor aExecutor,
                                     FleetState& aFleet,
                                     StoreClient& aStore,
                                     PeerTransport& aTransport,
                                     Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mStore(aStore)
  , mTransport(aTransport)
  , mCallbacks(std::move(aCallbacks))
  , mCutOff(aFleet.mSettings.mCutOffKeyPolicy)
  , mTable(TableOptions(aFleet, aFleet.mRandom.Next()),
           { mConfiguration, mWithdrawals, mCutOff },
           SteadyNow())
  , mTickTimer(aExecutor)
  , mLastWatchNoticeAt(SteadyNow())
{
  size_t n = 0;
  for (const auto& it : aFleet.mSettings.mSeeds) {
    ZoneMember seed;
    seed.mName = InstanceName("seed-" + std::to_string(++n));
    seed.mAddress = it.mAddress;
    seed.mPeerPort = it.mPort;
    const bool isSelf = it.mAddress == aFleet.mSelf.mAddress &&
                        it.mPort == aFleet.mSelf.mPeerPort;
    if (!isSelf) {
      mTable.AddSeed(seed);
    }
  }
}

void MembershipService::Start()
{
  Spawn(mExecutor, TickLoop());
  Spawn(mExecutor, WatchLoop());
  Spawn(mExecutor, NoticeLoop());
  Spawn(mExecutor, PlatformListLoop());
}

void MembershipService::Stop()
{
  mStopping = true;
  mTickTimer.cancel();
}

void MembershipService::BeginLeave()
{
  ExecuteActions(mTable.BeginLeave(SteadyNow()));
}

bool MembershipService::IsEnded() const
{
  return mTable.Zone().GetState() == ZoneMembership::State::Ended;
}

void MembershipService::Handle(const PeerMessage& aMessage)
{
  ExecuteActions(mTable.Handle(SteadyNow(), aMessage));
}

Result<WorkspaceName> MembershipService::Authenticate(
  std::string_view aKey) const
{
  BOOST_OUTCOME_TRYV(mCutOff.CheckKeyedRequest(SteadyNow(), mWithdrawals));
  return mKeys.Authenticate(aKey, mWithdrawals);
}

void MembershipService::Withdraw(const KeyId& aKey)
{
  Log(LogLevel::Info, "key_withdrawn", { { "key", aKey.Text() } });
  ExecuteActions(mTable.Withdraw(SteadyNow(), aKey));
}

bool MembershipService::MayActAsOwner() const
{
  return mTable.Zone().MayActAsOwner(SteadyNow());
}

bool MembershipService::IsSettled() const
{
  return mTable.Zone().IsSettled();
}

void MembershipService::SetLoads(std::vector<peer::LoadSummary> aLoads)
{
  mTable.SetLoads(std::move(aLoads));
}

void MembershipService::OnReleased(const InstanceName& aInstance,
                                   Incarnation aIncarnation)
{
  mTable.OnTerminated(aInstance, aIncarnation);
}

void MembershipService::OnWatchNotice()
{
  mLastWatchNoticeAt = SteadyNow();
}

void MembershipService::NotifyMembers(const peer::ObjectChanged& aNotice)
{
  for (const auto& it : mFleet.mDirectory.Members(mFleet.mSelf.mZone)) {
    if (it.mName != mFleet.mSelf.mName) {
      mTransport.Notify({ it.mAddress, it.mPeerPort }, aNotice);
    }
  }
}

Awaitable<void> MembershipService::SleepFor(Duration aTime)
{
  asio::steady_timer timer(mExecutor, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

Awaitable<void> MembershipService::TickLoop()
{
  while (!mStopping) {
    ExecuteActions(mTable.Tick(SteadyNow()));
    mTickTimer.expires_after(kTickInterval);
    ErrorCode ec;
    co_await mTickTimer.async_wait(Into(ec));
  }
}

void MembershipService::ExecuteActions(MembershipActions aActions)
{
  for (auto& action : aActions) {
    if (auto* send = std::get_if<act::SendPeer>(&action)) {
      std::optional<IpEndpoint> endpoint;
      if (!send->mAddress.empty()) {
        endpoint = IpEndpoint{ send->mAddress, send->mPort };
      }
      mTransport.SendMessage(send->mTo, endpoint, send->mMessage);
    } else if (auto* close = std::get_if<act::CloseLink>(&action)) {
      const auto* info = mFleet.mDirectory.Find(close->mTo);
      if (info) {
        mTransport.CloseLink({ info->mAddress, info->mPeerPort });
      }
    } else if (std::holds_alternative<act::ReadView>(action)) {
      Spawn(mExecutor, ReadView());
    } else if (auto* write = std::get_if<act::WriteView>(&action)) {
      Spawn(mExecutor,
            WriteView(std::move(write->mText), std::move(write->mVersion)));
    } else if (auto* adopted = std::get_if<act::ViewAdopted>(&action)) {
      OnViewAdopted(adopted->mView);
    } else if (std::holds_alternative<act::Ended>(action)) {
      if (!mFleet.mLeaving) {
        Rejoin();
      }
    } else if (auto* offer = std::get_if<act::ConfigurationOffered>(&action)) {
      OfferConfiguration(offer->mGeneration, offer->mText);
    } else if (auto* warning = std::get_if<act::LogWarning>(&action)) {
      Log(LogLevel::Warn, "membership", { { "detail", warning->mText } });
    }
  }
  RefreshDirectory();
}

Awaitable<void> MembershipService::ReadView()
{
  auto object = co_await mStore.Get(kViewKind, mFleet.mSelf.mZone.Text());
  const TimePoint now = SteadyNow();
  if (object) {
    ExecuteActions(
      mTable.OnStoreRead(now,
                         Result<std::string>(object.value().mValue),
                         std::to_string(object.value().mVersion)));
  } else if (object.error().mCode == ResultCode::NotFound) {
    ExecuteActions(
      mTable.OnStoreRead(now, Result<std::string>(std::string()), {}));
  } else {
    ExecuteActions(
      mTable.OnStoreRead(now, Result<std::string>(object.error()), {}));
  }
}

Awaitable<void> MembershipService::WriteView(std::string aText,
                                             std::string aVersion)
{
  StoreCondition condition = StoreCondition::Absent();
  if (!aVersion.empty()) {
    uint64_t version = 0;
    std::from_chars(
      aVersion.data(), aVersion.data() + aVersion.size(), version);
    condition = StoreCondition::AtVersion(version);
  }
  const StoreWrite write = co_await mStore.Put(
    kViewKind, mFleet.mSelf.mZone.Text(), std::move(aText), condition);
  StoreWriteOutcome outcome = StoreWriteOutcome::Unknown;
  if (write.IsDone()) {
    outcome = StoreWriteOutcome::Written;
  } else if (write.mOutcome == WriteOutcome::Conflict) {
    outcome = StoreWriteOutcome::Conflict;
  }
  ExecuteActions(
    mTable.OnStoreWrite(SteadyNow(), outcome, std::to_string(write.mVersion)));
}

void MembershipService::OnViewAdopted(const ZoneView& aView)
{
  std::string members;
  for (const auto& it : aView.mMembers) {
    members += members.empty() ? "" : ",";
    members += it.mName.Text();
  }
  Log(LogLevel::Info,
      "view_adopted",
      { { "zone", aView.mZone.Text() },
        { "number", aView.mNumber },
        { "members", members } });
}

void MembershipService::RefreshDirectory()
{
  bool changed = false;
  const auto refresh = [&](const ZoneView& aView) {
    auto& directory = mFleet.mDirectory;
    if (directory.ViewNumber(aView.mZone) != aView.mNumber) {
      directory.SetZone(aView.mZone, aView.mNumber, MembersOf(aView));
      changed = true;
    }
    for (const auto& it : aView.mMembers) {
      const auto* known = directory.Find(it.mName);
      const bool leaving = mTable.IsLeaving(it.mName);
      if (known && leaving && !known->mLeaving) {
        directory.SetLeaving(it.mName, it.mIncarnation);
        changed = true;
      }
    }
  };
  const auto& own = mTable.Zone().View();
  if (own.mNumber != 0) {
    refresh(own);
  }
  for (const auto& [zone, view] : mTable.RemoteViews()) {
    refresh(view);
  }
  if (changed) {
    mCallbacks.mOnDirectory();
  }
}

void MembershipService::Rejoin()
{
  const Incarnation incarnation = mFleet.mRandom.Next();
  Log(LogLevel::Warn, "rejoining", { { "incarnation", incarnation } });
  mFleet.mSelf.mIncarnation = incarnation;
  mTransport.SetIncarnation(incarnation);
  mTable.Rejoin(SteadyNow(), incarnation);
  mCallbacks.mOnRejoin();
  mCallbacks.mOnDirectory();
}

void MembershipService::OfferConfiguration(uint64_t aGeneration,
                                           const std::string& aText)
{
  if (aGeneration != 0 && aGeneration <= mConfiguration.Generation()) {
    return;
  }
  auto read = InventoryReader::Read(aText);
  if (!read) {
    const Error& first = read.error().front();
    Log(LogLevel::Error,
        "configuration_refused",
        { { "code", int(first.mCode) },
          { "path", first.mPath },
          { "detail", first.mDetail } });
    return;
  }
  const uint64_t generation = read.value().mGeneration;
  auto accepted = mConfiguration.Accept(generation, aText);
  if (!accepted || !accepted.value()) {
    if (!accepted && accepted.error().mCode == ResultCode::Conflict) {
      Log(LogLevel::Error,
          "configuration_conflict",
          { { "generation", generation } });
    }
    return;
  }
  mFleet.mInventory =
    std::make_shared<const Inventory>(std::move(read.value()));
  mKeys = KeyTable(*mFleet.mInventory);
  mWithdrawals.OnConfiguration(generation, mKeys.Ids());
  Log(
    LogLevel::Info, "configuration_applied", { { "generation", generation } });
  mCallbacks.mOnInventory();
}

bool MembershipService::ShouldHoldWatch() const
{
  const auto& members = mTable.Zone().View().mMembers;
  size_t rank = 0;
  while (rank < members.size() && members[rank].mName != mFleet.mSelf.mName) {
    ++rank;
  }
  if (rank == 0 || rank == members.size()) {
    return true;
  }
  return SteadyNow() - mLastWatchNoticeAt >
         kWatchNoticeTimeout + rank * kWatchDelayPerRank;
}

void MembershipService::OnStoreChange(const StoreChange& aChange)
{
  if (!aChange.mValue) {
    return;
  }
  if (aChange.mKind == kConfigurationKind && aChange.mName == "current") {
    OfferConfiguration(0, *aChange.mValue);
  } else if (aChange.mKind == kViewKind) {
    auto view = ZoneViewFromJson(*aChange.mValue);
    // Does not call `OnStoreRead`, which ends the wait for this member's own
    // store call: the answer to a write in flight would then be matched to a
    // later write.
    if (view && view.value().mZone.Text() == aChange.mName) {
      ExecuteActions(mTable.OfferView(SteadyNow(), view.value()));
    }
  } else {
    mCallbacks.mOnObject(aChange);
  }
}

Awaitable<bool> MembershipService::ListAll()
{
  static constexpr const char* kKinds[] = {
    kConfigurationKind, kViewKind, "homemap", "allotment", "release"
  };
  for (const auto* kind : kKinds) {
    auto listed = co_await mStore.List(kind, ReadFreshness::Current);
    if (!listed) {
      co_return false;
    }
    for (const auto& it : listed.value().mObjects) {
      OnStoreChange({ kind, it.mName, it.mVersion, it.mValue });
    }
  }
  mWithdrawals.MarkSynchronised();
  mCutOff.RecordContact(SteadyNow());
  co_return true;
}

Awaitable<void> MembershipService::NoticeLoop()
{
  while (!mStopping) {
    if (mIsWatchHolder) {
      NotifyMembers({});
    }
    co_await SleepFor(kWatchNoticeInterval);
  }
}

Awaitable<void> MembershipService::WatchLoop()
{
  std::optional<StorePosition> position;
  while (!mStopping) {
    const bool shouldHoldWatch = ShouldHoldWatch();
    mIsWatchHolder = shouldHoldWatch && position;
    if (!shouldHoldWatch && mConfiguration.HasConfiguration()) {
      position.reset();
      co_await SleepFor(kWatchHolderCheckInterval);
      continue;
    }
    if (!position) {
      // Reads the position before the objects, so that the watch reports a
      // write between the two.
      auto start = co_await mStore.List("shiftstep", ReadFreshness::Current);
      bool listed = false;
      if (start) {
        listed = co_await ListAll();
      }
      if (listed) {
        position = start.value().mPosition;
      } else {
        co_await SleepFor(
          std::max<Duration>(mStore.RetryPause(), kMinRetryDelay));
      }
      continue;
    }
    auto changes = co_await mStore.Watch("", *position, kWatchTimeout);
    if (mStopping) {
      co_return;
    }
    if (!changes) {
      if (changes.error().mCode == ResultCode::InvalidState) {
        position.reset();
      }
      co_await SleepFor(
        std::max<Duration>(mStore.RetryPause(), kMinRetryDelay));
      continue;
    }
    position = changes.value().mPosition;
    mCutOff.RecordContact(SteadyNow());
    for (const auto& it : changes.value().mChanges) {
      OnStoreChange(it);
      if (it.mKind != kConfigurationKind && it.mKind != kViewKind &&
          it.mValue) {
        NotifyMembers({ it.mKind, it.mName, it.mVersion, *it.mValue });
      }
    }
  }
}

Awaitable<void> MembershipService::PlatformListLoop()
{
  while (!mStopping) {
    co_await SleepFor(kPlatformListInterval);
    // Only one member of a zone reads the list. Terminated instances lead to a
    // view change, which the others receive.
    if (mStopping || !ShouldHoldWatch()) {
      continue;
    }
    auto listed = co_await mStore.ListInstances();
    if (!listed) {
      continue;
    }
    for (const auto& it : listed.value()) {
      if (it.mState == "terminated") {
        mTable.OnTerminated(InstanceName(it.mName));
      }
    }
  }
}

} // namespace pollenway
