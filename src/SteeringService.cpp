#include "SteeringService.h"

#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

constexpr auto kExchangeInterval = std::chrono::milliseconds(500);
constexpr auto kExchangeTimeout = std::chrono::milliseconds(450);
constexpr unsigned kExchangesPerTick = 2;
/// Number of consecutive unanswered exchanges after which look-up answers no
/// longer include a peer. The zone's view shows a crash after 6 s at the
/// earliest, and not at all while the store is down.
constexpr unsigned kUnreachableThreshold = 2;

} // namespace

SteeringService::SteeringService(asio::any_io_executor aExecutor,
                                 FleetState& aFleet,
                                 PeerTransport& aTransport,
                                 MembershipService& aMembership)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mTransport(aTransport)
  , mMembership(aMembership)
  , mTimer(aExecutor)
{
}

void SteeringService::Start()
{
  Spawn(mExecutor, TimerLoop());
}

void SteeringService::Stop()
{
  mStopping = true;
  mTimer.cancel();
}

void SteeringService::OnInventory()
{
  if (!mPolicy) {
    HeadroomOptions headroom;
    headroom.mSelf = { mFleet.mSelf.mName, mFleet.mSelf.mIncarnation };
    headroom.mZone = mFleet.mSelf.mZone;
    for (const auto& it : mFleet.mInventory->mServices) {
      headroom.mMaxLifetime =
        std::max<Duration>(headroom.mMaxLifetime, it.mLookupTtl);
    }
    mHeadroom = std::make_unique<HeadroomTracker>(headroom, *mFleet.mInventory);
    LookupOptions lookup;
    lookup.mSelf = mFleet.mSelf.mName;
    lookup.mZone = mFleet.mSelf.mZone;
    mPolicy = std::make_unique<LookupPolicy>(lookup, mBlocks, *mHeadroom);
  }
  UpdateBlocks();
  OnDirectory();
}

void SteeringService::OnRejoin()
{
  mPolicy.reset();
  mHeadroom.reset();
  mAppliedView = 0;
  if (mFleet.mInventory) {
    OnInventory();
  }
}

void SteeringService::UpdateBlocks()
{
  std::map<IpPrefix, RegionName> wanted;
  for (const auto& it : mFleet.mInventory->mClientBlocks) {
    auto prefix = IpPrefix::Parse(it.mPrefix);
    if (prefix) {
      wanted[prefix.value()] = it.mRegion;
    }
  }
  for (const auto& [prefix, region] : mAppliedBlocks) {
    if (!wanted.contains(prefix)) {
      mBlocks.Remove(prefix);
    }
  }
  for (const auto& [prefix, region] : wanted) {
    const auto known = mAppliedBlocks.find(prefix);
    if (known != mAppliedBlocks.end() && known->second == region) {
      continue;
    }
    auto inserted = mBlocks.Insert(prefix, region);
    if (!inserted) {
      Log(
        LogLevel::Error,
        "client_block_refused",
        { { "block", prefix.Text() }, { "detail", inserted.error().mDetail } });
    }
  }
  mAppliedBlocks = std::move(wanted);
}

void SteeringService::UpdateView()
{
  SteeringView view;
  view.mInventory = mFleet.mInventory;
  for (const auto& it : mFleet.mDirectory.All()) {
    SteeringInstance instance;
    instance.mName = it.mName;
    instance.mZone = it.mZone;
    instance.mAddress = it.mAddress;
    instance.mPort = it.mCallerPort;
    const bool isUsable = !it.mLeaving && !IsUnreachable(it);
    instance.mState = isUsable ? InstanceState::Live : InstanceState::Leaving;
    view.mInstances.push_back(std::move(instance));
  }
  mPolicy->SetView(std::move(view), SteadyNow());
}

void SteeringService::OnDirectory()
{
  if (!mPolicy) {
    return;
  }
  UpdateView();
  const auto& own = mMembership.Table().Zone().View();
  if (own.mNumber <= mAppliedView) {
    return;
  }
  mAppliedView = own.mNumber;
  ShareView view;
  view.mNumber = own.mNumber;
  for (const auto& it : own.mMembers) {
    view.mMembers.push_back({ it.mName, it.mIncarnation });
  }
  mHeadroom->ApplyZoneView(view, SteadyNow());
}

void SteeringService::UpdateLease()
{
  // Called right before each use, so the lease only has to be valid at this
  // time.
  const TimePoint now = SteadyNow();
  mHeadroom->SetLeaseEnd(mMembership.MayActAsOwner() ? TimePoint::max() : now);
}

LookupDecision SteeringService::Decide(const LookupRequest& aRequest)
{
  LookupDecision decision;
  decision.mCode = ResultCode::NoConfiguration;
  if (!mPolicy) {
    return decision;
  }
  UpdateLease();
  return mPolicy->Decide(aRequest, SteadyNow());
}

void SteeringService::CountRequest(const IpAddress& aClient)
{
  if (mPolicy) {
    mPolicy->CountRequest(aClient, SteadyNow());
  }
}

peer::SteeringReply SteeringService::HandleSummary(
  const peer::Steering& aSummary)
{
  peer::SteeringReply reply;
  if (mPolicy) {
    const TimePoint now = SteadyNow();
    UpdateLease();
    mPolicy->OnSummary(aSummary.mSummary, now);
    reply.mLoans = mHeadroom->Lend(aSummary.mSummary, now);
  }
  return reply;
}

std::vector<InstanceInfo> SteeringService::NextExchangePeers()
{
  std::vector<InstanceInfo> out;
  ++mRemotePeerIndex;
  for (const auto& zone : mFleet.mDirectory.Zones()) {
    const auto& members = mFleet.mDirectory.Members(zone);
    if (members.empty()) {
      continue;
    }
    if (zone != mFleet.mSelf.mZone) {
      out.push_back(members[mRemotePeerIndex % members.size()]);
      continue;
    }
    for (const auto& it : members) {
      if (it.mName != mFleet.mSelf.mName) {
        out.push_back(it);
      }
    }
  }
  return out;
}

Awaitable<void> SteeringService::Exchange(InstanceInfo aPeer)
{
  const bool forZone = aPeer.mZone != mFleet.mSelf.mZone;
  const TimePoint sentAt = SteadyNow();
  UpdateLease();
  peer::Steering body;
  body.mSummary = mPolicy->Summary(aPeer.mName, forZone, sentAt);
  const IpEndpoint endpoint{ aPeer.mAddress, aPeer.mPeerPort };
  auto reply = co_await mTransport.Call(
    endpoint, aPeer.mIncarnation, std::move(body), kExchangeTimeout);
  const auto* answer =
    reply ? std::get_if<peer::SteeringReply>(&reply.value().mBody) : nullptr;
  if (answer && mHeadroom) {
    mHeadroom->OnLoans(aPeer.mName, answer->mLoans, sentAt, SteadyNow());
  }
  RecordExchange(aPeer, answer != nullptr);
}

bool SteeringService::IsUnreachable(const InstanceInfo& aPeer) const
{
  const auto it = mUnansweredExchanges.find(aPeer.mIncarnation);
  return it != mUnansweredExchanges.end() &&
         it->second >= kUnreachableThreshold;
}

void SteeringService::RecordExchange(const InstanceInfo& aPeer, bool aAnswered)
{
  const bool wasUnreachable = IsUnreachable(aPeer);
  if (aAnswered) {
    mUnansweredExchanges.erase(aPeer.mIncarnation);
  } else {
    ++mUnansweredExchanges[aPeer.mIncarnation];
  }
  if (mPolicy && IsUnreachable(aPeer) != wasUnreachable) {
    Log(LogLevel::Info,
        "peer_reachable",
        { { "peer", aPeer.mName.Text() }, { "reachable", aAnswered } });
    UpdateView();
  }
}

Awaitable<void> SteeringService::TimerLoop()
{
  uint64_t tick = 0;
  while (!mStopping) {
    if (mPolicy && !mFleet.mLeaving) {
      if (++tick % kExchangesPerTick == 0) {
        mPolicy->Tick(SteadyNow());
      }
      for (auto& it : NextExchangePeers()) {
        Spawn(mExecutor, Exchange(std::move(it)));
      }
    }
    mTimer.expires_after(kExchangeInterval);
    ErrorCode ec;
    co_await mTimer.async_wait(Into(ec));
  }
}

} // namespace pollenway
