#include "LimitService.h"

#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

constexpr auto kTimerInterval = std::chrono::milliseconds(100);
/// Timeout for an owner's answer. The owner may in turn ask other zones'
/// owners.
constexpr auto kAdmitTimeout = std::chrono::milliseconds(600);
constexpr auto kHandoverTimeout = std::chrono::milliseconds(90);
/// Maximum number of other zones' owners to ask if the local owner is
/// unreachable.
constexpr size_t kMaxReroutes = 2;
constexpr auto kRerouteSlack = std::chrono::milliseconds(40);
constexpr auto kMinTimerDelay = std::chrono::milliseconds(1);
constexpr double kMinZoneLatencyMs = 0.5;

constexpr char kAllotmentKind[] = "allotment";

bool IsOwnerMissing(const AccountClient::Decision& aDecision)
{
  return aDecision.mVerdict == AccountClient::Verdict::Refused &&
         aDecision.mCode == ResultCode::LimitOwnerUnavailable;
}

AdmitReply Unavailable(const AdmitRequest& aRequest)
{
  AdmitReply reply;
  reply.mId = aRequest.mId;
  reply.mZone = aRequest.mZone;
  reply.mCode = ResultCode::LimitOwnerUnavailable;
  return reply;
}

} // namespace

struct LimitService::Account
{
  std::unique_ptr<AccountClient> mClient;
  /// Grants tokens only while this instance owns the account in its zone.
  std::unique_ptr<AccountHolder> mHolder;
  InstanceName mOwner;
  /// Last view of the zone in which this instance is the owner.
  uint64_t mView = 0;
  /// Expiry of the holder's pending timer.
  std::optional<TimePoint> mNextTimerAt;
  bool mIsReading = false;
  bool mIsWriting = false;
};

struct LimitService::Waiter
{
  Waiter(asio::any_io_executor aExecutor, Duration aTimeout)
    : mTimer(aExecutor, aTimeout)
  {
  }

  asio::steady_timer mTimer;
  std::optional<AdmitReply> mReply;
};

LimitService::LimitService(asio::any_io_executor aExecutor,
                           FleetState& aFleet,
                           StoreClient& aStore,
                           PeerTransport& aTransport,
                           MembershipService& aMembership)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mStore(aStore)
  , mTransport(aTransport)
  , mMembership(aMembership)
  , mTimer(aExecutor)
{
}

LimitService::~LimitService() = default;

void LimitService::Start()
{
  Spawn(mExecutor, TimerLoop());
}

void LimitService::Stop()
{
  mStopping = true;
  mTimer.cancel();
}

const InstanceInfo* LimitService::OwnerIn(const ZoneName& aZone,
                                          const WorkspaceName& aWorkspace) const
{
  return mFleet.mDirectory.OwnerOf(aZone, "account/" + aWorkspace.Text());
}

std::vector<AccountHolder::Peer> LimitService::OtherZones() const
{
  std::vector<AccountHolder::Peer> out;
  const auto& inventory = *mFleet.mInventory;
  const Region* own = inventory.RegionOfZone(mFleet.mSelf.mZone);
  for (const auto& region : inventory.mRegions) {
    const double ms =
      own ? std::max(kMinZoneLatencyMs,
                     inventory.LatencyMs(own->mName, region.mName))
          : kMinZoneLatencyMs;
    for (const auto& zone : region.mZones) {
      if (zone != mFleet.mSelf.mZone) {
        out.push_back({ zone, FromSeconds(ms / 1000) });
      }
    }
  }
  return out;
}

void LimitService::OnInventory()
{
  const auto& inventory = *mFleet.mInventory;
  for (const auto& it : inventory.mWorkspaces) {
    auto& account = mAccounts[it.mName];
    if (!account.mClient) {
      account.mClient = std::make_unique<AccountClient>(
        mFleet.mSelf.mName, mFleet.mSelf.mZone, AccountClient::Options{});
      account.mHolder =
        std::make_unique<AccountHolder>(mFleet.mSelf.mName,
                                        mFleet.mSelf.mZone,
                                        OtherZones(),
                                        AccountHolder::Options{});
    }
    account.mHolder->SetTotal(
      inventory.mGeneration, it.mRate, it.mBurst, SteadyNow());
  }
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    return inventory.FindWorkspace(aEntry.first) == nullptr;
  });
  UpdateOwners();
}

void LimitService::OnRejoin()
{
  mAccounts.clear();
  if (mFleet.mInventory) {
    OnInventory();
  }
}

void LimitService::UpdateOwners()
{
  for (auto& [workspace, account] : mAccounts) {
    UpdateOwner(workspace, account);
  }
}

void LimitService::UpdateOwner(const WorkspaceName& aWorkspace,
                               Account& aAccount)
{
  const ZoneName& zone = mFleet.mSelf.mZone;
  const InstanceInfo* owner = OwnerIn(zone, aWorkspace);
  const InstanceName name = owner ? owner->mName : InstanceName();
  if (name != aAccount.mOwner) {
    aAccount.mOwner = name;
    aAccount.mClient->OnOwnerChange();
  }
  const uint64_t view = mFleet.mDirectory.ViewNumber(zone);
  const bool isOwn = owner && name == mFleet.mSelf.mName &&
                     owner->mIncarnation == mFleet.mSelf.mIncarnation;
  if (!isOwn || view <= aAccount.mView) {
    return;
  }
  aAccount.mView = view;
  std::vector<InstanceName> others;
  for (const auto& it : mFleet.mDirectory.Members(zone)) {
    if (it.mName != mFleet.mSelf.mName) {
      others.push_back(it.mName);
    }
  }
  aAccount.mHolder->BeginTakeover(view, std::move(others), SteadyNow());
}

void LimitService::AskForHandovers(const WorkspaceName& aWorkspace,
                                   const Account& aAccount)
{
  for (const auto& it : aAccount.mHolder->Unanswered()) {
    const auto* info = mFleet.mDirectory.Find(it);
    if (info) {
      Spawn(mExecutor, AskForHandover(aWorkspace, aAccount.mView, *info));
    }
  }
}

Awaitable<void> LimitService::AskForHandover(WorkspaceName aWorkspace,
                                             uint64_t aView,
                                             InstanceInfo aFrom)
{
  peer::AccountHandover body;
  body.mWorkspace = aWorkspace;
  body.mViewNumber = aView;
  const IpEndpoint endpoint{ aFrom.mAddress, aFrom.mPeerPort };
  auto reply = co_await mTransport.Call(
    endpoint, aFrom.mIncarnation, std::move(body), kHandoverTimeout);
  auto it = mAccounts.find(aWorkspace);
  if (!reply || it == mAccounts.end()) {
    co_return;
  }
  const auto* answer =
    std::get_if<peer::AccountHandoverReply>(&reply.value().mBody);
  if (answer && answer->mAnswer) {
    it->second.mHolder->OnHandoverAnswer(
      aFrom.mName, *answer->mAnswer, SteadyNow());
  }
}

std::optional<PeerBody> LimitService::HandleHandover(
  const peer::AccountHandover& aRequest)
{
  peer::AccountHandoverReply answer;
  const auto it = mAccounts.find(aRequest.mWorkspace);
  if (it == mAccounts.end()) {
    // Without a configuration, this instance has never held the account.
    return std::nullopt;
  }
  AccountHolder::Actions actions;
  answer.mAnswer =
    it->second.mHolder->HandOver(aRequest.mViewNumber, SteadyNow(), actions);
  ExecuteActions(aRequest.mWorkspace, std::move(actions));
  return answer;
}

Awaitable<void> LimitService::TimerLoop()
{
  while (!mStopping) {
    const TimePoint now = SteadyNow();
    const bool valid = mMembership.MayActAsOwner();
    UpdateOwners();
    for (auto& [workspace, account] : mAccounts) {
      account.mClient->OnTimer(now);
      AskForHandovers(workspace, account);
      ExecuteActions(workspace, account.mHolder->OnTimer(now, valid));
      const auto serial = account.mHolder->NeededRead();
      if (serial && !account.mIsReading && mStore.RetryPause() == Duration(0)) {
        account.mIsReading = true;
        Spawn(mExecutor, ReadAllotment(workspace, *serial));
      }
      if (!account.mIsWriting) {
        auto write = account.mHolder->NextWrite(now, valid);
        if (write) {
          account.mIsWriting = true;
          Spawn(mExecutor, WriteAllotment(workspace, std::move(*write)));
        }
      }
    }
    mTimer.expires_after(kTimerInterval);
    ErrorCode ec;
    co_await mTimer.async_wait(Into(ec));
  }
}

Awaitable<void> LimitService::ReadAllotment(WorkspaceName aWorkspace,
                                            uint64_t aSerial)
{
  auto object = co_await mStore.Get(kAllotmentKind, aWorkspace.Text());
  auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    co_return;
  }
  it->second.mIsReading = false;
  Log(LogLevel::Debug,
      "allotment_read",
      { { "workspace", aWorkspace.Text() },
        { "serial", aSerial },
        { "found", bool(object) } });
  if (!object && object.error().mCode != ResultCode::NotFound) {
    co_return;
  }
  std::optional<Allotment> read;
  if (object) {
    auto parsed = Allotment::Parse(object.value().mValue);
    if (!parsed) {
      Log(LogLevel::Error,
          "allotment_refused",
          { { "workspace", aWorkspace.Text() },
            { "detail", parsed.error().mDetail } });
      co_return;
    }
    read = std::move(parsed.value());
  }
  it->second.mHolder->OnStoreRead(aSerial, read, SteadyNow());
}

Awaitable<void> LimitService::WriteAllotment(WorkspaceName aWorkspace,
                                             AllotmentWrite aWrite)
{
  // The base is the version in the allotment. The store compares object
  // versions, so the object version that contains the base is read first.
  StoreCondition condition = StoreCondition::Absent();
  MoveOutcome outcome = MoveOutcome::Conflict;
  bool send = true;
  if (aWrite.mBaseVersion != 0) {
    auto object = co_await mStore.Get(kAllotmentKind, aWorkspace.Text());
    send = false;
    if (object) {
      auto parsed = Allotment::Parse(object.value().mValue);
      send = parsed && parsed.value().Version() == aWrite.mBaseVersion;
      condition = StoreCondition::AtVersion(object.value().mVersion);
    }
  }
  if (send) {
    const StoreWrite write = co_await mStore.Put(
      kAllotmentKind, aWorkspace.Text(), aWrite.mValue.ToJson(), condition);
    if (write.IsDone()) {
      outcome = MoveOutcome::Committed;
    } else if (write.mOutcome != WriteOutcome::Conflict &&
               write.mOutcome != WriteOutcome::NotDone) {
      outcome = MoveOutcome::Unknown;
    }
  }
  auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    co_return;
  }
  it->second.mIsWriting = false;
  Log(LogLevel::Debug,
      "allotment_written",
      { { "workspace", aWorkspace.Text() },
        { "base", aWrite.mBaseVersion },
        { "outcome", int(outcome) } });
  it->second.mHolder->OnWriteResult(aWrite.mSerial, outcome, SteadyNow());
}

void LimitService::OnAllotment(const std::string& aWorkspace,
                               const std::string& aValue)
{
  auto it = mAccounts.find(WorkspaceName(aWorkspace));
  auto parsed = Allotment::Parse(aValue);
  if (it != mAccounts.end() && parsed) {
    it->second.mHolder->OnCommitted(parsed.value(), SteadyNow());
    Log(LogLevel::Debug,
        "allotment_committed",
        { { "workspace", aWorkspace },
          { "version", parsed.value().Version() },
          { "fraction", it->second.mHolder->Balancer().UsableFraction() },
          { "active", it->second.mHolder->IsActive() } });
  }
}

void LimitService::ExecuteActions(const WorkspaceName& aWorkspace,
                                  AccountHolder::Actions aActions)
{
  for (auto& it : aActions.mReplies) {
    const auto waiter =
      mWaiters.find({ aWorkspace, it.mTo, it.mToOwner, it.mReply.mId });
    if (waiter != mWaiters.end()) {
      waiter->second->mReply = std::move(it.mReply);
      waiter->second->mTimer.cancel();
    }
  }
  for (auto& it : aActions.mRequests) {
    Spawn(mExecutor, AskZone(aWorkspace, std::move(it)));
  }
  ScheduleTimer(aWorkspace);
}

void LimitService::ScheduleTimer(const WorkspaceName& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end() || mStopping) {
    return;
  }
  const TimePoint now = SteadyNow();
  const auto next = it->second.mHolder->NextTimer(now);
  if (!next || (it->second.mNextTimerAt && *it->second.mNextTimerAt <= *next)) {
    return;
  }
  it->second.mNextTimerAt = *next;
  Spawn(mExecutor, RunTimer(aWorkspace, *next));
}

Awaitable<void> LimitService::RunTimer(WorkspaceName aWorkspace, TimePoint aAt)
{
  // At least one millisecond, so that a holder whose timer has already expired
  // does not cause a busy loop.
  const Duration wait = std::max<Duration>(aAt - SteadyNow(), kMinTimerDelay);
  asio::steady_timer timer(mExecutor, wait);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end() || it->second.mNextTimerAt != aAt) {
    co_return;
  }
  it->second.mNextTimerAt.reset();
  ExecuteActions(
    aWorkspace,
    it->second.mHolder->OnTimer(SteadyNow(), mMembership.MayActAsOwner()));
}

Awaitable<void> LimitService::AskZone(WorkspaceName aWorkspace,
                                      AccountHolder::RequestAction aAction)
{
  const ZoneName zone = aAction.mTo;
  const AdmitReply reply =
    co_await AskOwner(aWorkspace, zone, std::move(aAction.mRequest));
  auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end()) {
    ExecuteActions(aWorkspace,
                   it->second.mHolder->OnReply(
                     reply, SteadyNow(), mMembership.MayActAsOwner()));
  }
}

Awaitable<AdmitReply> LimitService::AskOwner(WorkspaceName aWorkspace,
                                             ZoneName aZone,
                                             AdmitRequest aRequest)
{
  const InstanceInfo* owner = OwnerIn(aZone, aWorkspace);
  if (!owner) {
    co_return Unavailable(aRequest);
  }
  if (owner->mName == mFleet.mSelf.mName) {
    AdmitReply own = co_await AskHolder(aWorkspace, std::move(aRequest));
    co_return own;
  }
  const AdmitReply fallback = Unavailable(aRequest);
  const IpEndpoint endpoint{ owner->mAddress, owner->mPeerPort };
  const Incarnation incarnation = owner->mIncarnation;
  peer::Admit body;
  body.mWorkspace = aWorkspace;
  body.mViewNumber = mFleet.mDirectory.ViewNumber(aZone);
  body.mRequest = std::move(aRequest);
  ++mCounts.mMessages;
  auto reply = co_await mTransport.Call(
    endpoint, incarnation, std::move(body), kAdmitTimeout);
  if (!reply) {
    co_return fallback;
  }
  ++mCounts.mMessages;
  const auto* answer = std::get_if<peer::AdmitReply>(&reply.value().mBody);
  co_return answer && answer->mCode == ResultCode::Ok ? answer->mReply
                                                      : fallback;
}

Awaitable<AdmitReply> LimitService::AskHolder(WorkspaceName aWorkspace,
                                              AdmitRequest aRequest)
{
  auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end() || !it->second.mHolder->IsActive()) {
    co_return Unavailable(aRequest);
  }
  const ReplyKey key{
    aWorkspace, aRequest.mFrom, aRequest.mFromOwner, aRequest.mId
  };
  auto waiter = std::make_shared<Waiter>(mExecutor, kAdmitTimeout);
  mWaiters[key] = waiter;
  ExecuteActions(aWorkspace,
                 it->second.mHolder->Admit(
                   aRequest, SteadyNow(), mMembership.MayActAsOwner()));
  if (!waiter->mReply) {
    ErrorCode ec;
    co_await waiter->mTimer.async_wait(Into(ec));
  }
  mWaiters.erase(key);
  co_return waiter->mReply ? *waiter->mReply : Unavailable(aRequest);
}

Awaitable<std::optional<PeerBody>> LimitService::HandleAdmit(
  PeerMessage aMessage)
{
  const auto& body = std::get<peer::Admit>(aMessage.mBody);
  peer::AdmitReply answer;
  answer.mViewNumber = mFleet.mDirectory.ViewNumber(mFleet.mSelf.mZone);
  const auto it = mAccounts.find(body.mWorkspace);
  if (it == mAccounts.end() || !it->second.mHolder->IsActive()) {
    answer.mCode = ResultCode::StaleView;
  } else {
    answer.mReply = co_await AskHolder(body.mWorkspace, body.mRequest);
  }
  std::optional<PeerBody> out(std::move(answer));
  co_return out;
}

Awaitable<AccountClient::Decision> LimitService::AdmitOnce(
  WorkspaceName aWorkspace)
{
  AccountClient::Decision decision;
  decision.mCode = ResultCode::LimitOwnerUnavailable;
  auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    co_return decision;
  }
  decision = it->second.mClient->Admit(SteadyNow());
  if (decision.mVerdict == AccountClient::Verdict::Ask) {
    const AdmitReply reply =
      co_await AskOwner(aWorkspace, decision.mTo, std::move(decision.mRequest));
    it = mAccounts.find(aWorkspace);
    if (it != mAccounts.end()) {
      decision = it->second.mClient->OnReply(reply, SteadyNow());
    }
  }
  co_return decision;
}

Awaitable<AccountClient::Decision> LimitService::AdmitViaOtherZone(
  WorkspaceName aWorkspace,
  AccountClient::Decision aRefusal)
{
  auto zones = OtherZones();
  std::sort(
    zones.begin(), zones.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mLatency < aRight.mLatency;
    });
  zones.resize(std::min(zones.size(), kMaxReroutes));
  AccountClient::Decision decision = std::move(aRefusal);
  for (const auto& zone : zones) {
    const auto it = mAccounts.find(aWorkspace);
    if (!IsOwnerMissing(decision) || it == mAccounts.end()) {
      break;
    }
    it->second.mClient->RerouteTo(
      zone.mZone, 2 * zone.mLatency + kRerouteSlack, SteadyNow());
    decision = co_await AdmitOnce(aWorkspace);
  }
  co_return decision;
}

Awaitable<LimitService::Decision> LimitService::Admit(WorkspaceName aWorkspace)
{
  Decision out;
  auto decision = co_await AdmitOnce(aWorkspace);
  if (IsOwnerMissing(decision)) {
    decision = co_await AdmitViaOtherZone(aWorkspace, decision);
  }
  if (decision.mVerdict == AccountClient::Verdict::Granted) {
    ++mCounts.mAdmitted;
    out.mCode = ResultCode::Ok;
  } else if (decision.mVerdict == AccountClient::Verdict::Refused) {
    ++mCounts.mRefused;
    out.mCode = decision.mCode;
    out.mRetryAfter = decision.mRetryAfter;
  }
  co_return out;
}

std::vector<LimitService::AccountSummary> LimitService::Accounts()
{
  std::vector<AccountSummary> out;
  const TimePoint now = SteadyNow();
  for (auto& [workspace, account] : mAccounts) {
    AccountSummary summary{ .mWorkspace = workspace, .mOwner = account.mOwner };
    if (account.mHolder->IsActive()) {
      summary.mIsOwner = true;
      summary.mTokens = account.mHolder->Tokens(now);
      summary.mDemand = account.mHolder->Demand(now);
      summary.mFraction = account.mHolder->Balancer().UsableFraction();
    }
    out.push_back(std::move(summary));
  }
  return out;
}

} // namespace pollenway
