#include "TargetMonitor.h"

#include "Logger.h"
#include "RendezvousHash.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace pollenway {

namespace {

constexpr auto kTimerInterval = std::chrono::milliseconds(100);
/// Targets are probed often enough that a leaving one receives no new requests
/// later than 3 s after its notice.
constexpr auto kProbeInterval = std::chrono::milliseconds(800);
constexpr auto kProbeTimeout = std::chrono::milliseconds(700);
constexpr auto kHandoverPoll = std::chrono::milliseconds(100);
constexpr auto kHandoverTimeout = std::chrono::milliseconds(300);
constexpr size_t kHealthBytes = 16 * 1024;

} // namespace

TargetMonitor::TargetMonitor(asio::any_io_executor aExecutor,
                             FleetState& aFleet,
                             PeerTransport& aTransport,
                             MembershipService& aMembership,
                             BackendDispatcher& aDispatcher)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mTransport(aTransport)
  , mMembership(aMembership)
  , mDispatcher(aDispatcher)
  , mPool(aExecutor, {})
{
}

void TargetMonitor::Start()
{
  Spawn(mExecutor, TimerLoop());
}

void TargetMonitor::Stop()
{
  mStopping = true;
}

Awaitable<void> TargetMonitor::Pause(Duration aTime)
{
  asio::steady_timer timer(mExecutor, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

bool TargetMonitor::IsOwner(const Target& aTarget) const
{
  const Place* place = mFleet.mInventory->FindPlace(aTarget.mPlace);
  const auto* owner =
    mFleet.mDirectory.OwnerOf(place->mZone, aTarget.mName.Text());
  return owner && owner->mName == mFleet.mSelf.mName &&
         owner->mIncarnation == mFleet.mSelf.mIncarnation;
}

void TargetMonitor::UpdateOwners()
{
  const auto inventory = mFleet.mInventory;
  if (!inventory || mFleet.mLeaving) {
    return;
  }
  const TimePoint now = SteadyNow();
  const uint64_t view = mFleet.mDirectory.ViewNumber(mFleet.mSelf.mZone);
  std::set<TargetName> ownedNow;
  for (const auto& it : mFleet.mDirectory.Members(mFleet.mSelf.mZone)) {
    mLastKnown[it.mName] = it;
  }
  for (const auto& it : inventory->mTargets) {
    if (!IsOwner(it)) {
      continue;
    }
    ownedNow.insert(it.mName);
    const Place* place = inventory->FindPlace(it.mPlace);
    const auto* service = inventory->FindService(it.mService);
    mDispatcher.Slots().SetTarget(
      it.mName,
      { .mSlots = it.mSlots,
        .mConnections = it.mConnections,
        .mState = std::max(it.mState, place->mState),
        .mTimeout = service->mTimeout });
    if (mOwned.insert(it.mName).second) {
      Spawn(mExecutor, TakeOver(it.mName, view));
    }
  }
  for (auto it = mOwned.begin(); it != mOwned.end();) {
    if (ownedNow.contains(*it)) {
      ++it;
      continue;
    }
    mDispatcher.Slots().ReleaseOwnership(*it, mFleet.mSelf.mName, now);
    mDispatcher.ClearQueue(*it, ResultCode::StaleView);
    mProbes.erase(*it);
    it = mOwned.erase(it);
  }
}

void TargetMonitor::ReleaseAll()
{
  for (const auto& it : mOwned) {
    mDispatcher.Slots().ReleaseOwnership(it, mFleet.mSelf.mName, SteadyNow());
    mDispatcher.ClearQueue(it, ResultCode::StaleView);
  }
  mOwned.clear();
  mProbes.clear();
}

Awaitable<void> TargetMonitor::TakeOver(TargetName aName, uint64_t aView)
{
  // Until all members apply this view, one of them may still dispatch requests
  // to the target.
  while (!mStopping && mOwned.contains(aName) &&
         !(mMembership.IsSettled() && mMembership.MayActAsOwner())) {
    co_await Pause(kHandoverPoll);
  }
  const ZoneName zone = mFleet.mSelf.mZone;
  if (mStopping || !mOwned.contains(aName)) {
    co_return;
  }
  const auto formerOwner = FormerOwner(aName);
  bool formerOwnerAnswered = false;
  SlotHandover handover;
  handover.mTarget = aName;
  for (const auto& it : MembersToQuery(formerOwner)) {
    peer::SlotHandover body;
    body.mTarget = aName;
    body.mViewNumber = aView;
    const IpEndpoint endpoint{ it.mAddress, it.mPeerPort };
    auto reply = co_await mTransport.Call(
      endpoint, it.mIncarnation, std::move(body), kHandoverTimeout);
    const auto* answer =
      reply ? std::get_if<peer::SlotHandoverReply>(&reply.value().mBody)
            : nullptr;
    if (!answer || answer->mCode != ResultCode::Ok) {
      continue;
    }
    formerOwnerAnswered =
      formerOwnerAnswered || (formerOwner && it.mName == formerOwner->mName &&
                              it.mIncarnation == formerOwner->mIncarnation);
    if (answer->mInFlight > 0) {
      FormerOwnerUse use;
      use.mOwner = it.mName;
      use.mSlots = answer->mInFlight;
      use.mConnections = answer->mConnections;
      handover.mUses.push_back(use);
      Spawn(mExecutor, PollFormerOwner(aName, aView, it));
    }
  }
  if (!mOwned.contains(aName)) {
    co_return;
  }
  const TimePoint now = SteadyNow();
  auto& slots = mDispatcher.Slots();
  if (formerOwner && !formerOwnerAnswered) {
    slots.TakeOverFromEvicted(aName, now);
  } else {
    slots.TakeOver(handover, mFleet.mSelf.mName, now);
  }
  Log(LogLevel::Debug,
      "target_owned",
      { { "target", aName.Text() }, { "view", aView } });
  mDispatcher.ServeQueue(aName);
}

std::optional<HomeMember> TargetMonitor::FormerOwner(
  const TargetName& aName) const
{
  const auto& view = mMembership.Table().Zone().View();
  const auto earlier = view.mEarlier.find(view.mNumber - 1);
  if (earlier == view.mEarlier.end()) {
    return std::nullopt;
  }
  std::vector<InstanceName> names;
  for (const auto& it : earlier->second) {
    names.push_back(it.mName);
  }
  const auto* owner = FirstByRendezvous(aName.Text(), names);
  for (const auto& it : earlier->second) {
    const bool isSelf = it.mName == mFleet.mSelf.mName &&
                        it.mIncarnation == mFleet.mSelf.mIncarnation;
    if (owner && it.mName == *owner && !isSelf) {
      return it;
    }
  }
  return std::nullopt;
}

std::vector<InstanceInfo> TargetMonitor::MembersToQuery(
  const std::optional<HomeMember>& aFormer)
{
  std::vector<InstanceInfo> out;
  bool hasFormerOwner = !aFormer;
  for (const auto& it : mFleet.mDirectory.Members(mFleet.mSelf.mZone)) {
    if (it.mName == mFleet.mSelf.mName) {
      continue;
    }
    out.push_back(it);
    hasFormerOwner =
      hasFormerOwner ||
      (it.mName == aFormer->mName && it.mIncarnation == aFormer->mIncarnation);
  }
  // A member that left the view still replies while it finishes its requests in
  // flight.
  const auto known =
    hasFormerOwner ? mLastKnown.end() : mLastKnown.find(aFormer->mName);
  if (known != mLastKnown.end() &&
      known->second.mIncarnation == aFormer->mIncarnation) {
    out.push_back(known->second);
  }
  return out;
}

Awaitable<void> TargetMonitor::PollFormerOwner(TargetName aName,
                                               uint64_t aView,
                                               InstanceInfo aOwner)
{
  const IpEndpoint endpoint{ aOwner.mAddress, aOwner.mPeerPort };
  while (!mStopping && mOwned.contains(aName)) {
    co_await Pause(kHandoverPoll);
    peer::SlotHandover body;
    body.mTarget = aName;
    body.mViewNumber = aView;
    auto reply = co_await mTransport.Call(
      endpoint, aOwner.mIncarnation, std::move(body), kHandoverTimeout);
    if (!reply) {
      mDispatcher.Slots().OnFormerOwnerDied(aOwner.mName, SteadyNow());
      co_return;
    }
    const auto* answer =
      std::get_if<peer::SlotHandoverReply>(&reply.value().mBody);
    if (!answer || answer->mCode != ResultCode::Ok) {
      continue;
    }
    mDispatcher.Slots().OnFormerOwnerReport(
      aName, aOwner.mName, answer->mInFlight, answer->mConnections);
    mDispatcher.ServeQueue(aName);
    if (answer->mInFlight == 0) {
      co_return;
    }
  }
}

peer::SlotHandoverReply TargetMonitor::HandleHandover(
  const peer::SlotHandover& aRequest)
{
  peer::SlotHandoverReply reply;
  if (!mFleet.mLeaving &&
      mFleet.mDirectory.ViewNumber(mFleet.mSelf.mZone) < aRequest.mViewNumber) {
    reply.mCode = ResultCode::StaleView;
    return reply;
  }
  UpdateOwners();
  if (mOwned.contains(aRequest.mTarget)) {
    reply.mCode = ResultCode::StaleView;
    return reply;
  }
  reply.mInFlight = mDispatcher.Slots().InFlight(aRequest.mTarget);
  reply.mConnections = mDispatcher.Slots().Connections(aRequest.mTarget);
  return reply;
}

Awaitable<void> TargetMonitor::TimerLoop()
{
  TimePoint nextProbe{};
  while (!mStopping) {
    UpdateOwners();
    const TimePoint now = SteadyNow();
    if (now >= nextProbe) {
      nextProbe = now + kProbeInterval;
      for (const auto& it : mOwned) {
        auto& probe = mProbes[it];
        if (!probe.mRunning) {
          probe.mRunning = true;
          Spawn(mExecutor, ProbeTarget(it));
        }
      }
    }
    for (const auto& it : mOwned) {
      mDispatcher.ServeQueue(it);
    }
    ReportLoads();
    co_await Pause(kTimerInterval);
  }
}

Awaitable<void> TargetMonitor::ProbeTarget(TargetName aName)
{
  const auto inventory = mFleet.mInventory;
  const Target* target = inventory->FindTarget(aName);
  if (!target) {
    co_return;
  }
  const TimePoint sentAt = SteadyNow();
  const tcp::endpoint endpoint(asio::ip::make_address(target->mAddress),
                               target->mPort);
  TextRequest request(http::verb::get, "/.backend/health", 11);
  request.set(http::field::host, target->mAddress);
  auto answer = co_await mPool.Exchange(
    endpoint, std::move(request), kProbeTimeout, kHealthBytes);
  auto it = mProbes.find(aName);
  if (it == mProbes.end()) {
    co_return;
  }
  it->second.mRunning = false;
  if (!answer) {
    co_return;
  }
  const auto body =
    nlohmann::json::parse(answer.value().body(), nullptr, false);
  if (!body.is_object()) {
    co_return;
  }
  const TimePoint now = SteadyNow();
  const std::string state = body.value("state", std::string());
  const bool draining = state == "draining";
  auto& slots = mDispatcher.Slots();
  // The load is a fraction of the slots that the target states.
  if (body.contains("load") && body["load"].is_number() &&
      body.contains("slots") && body["slots"].is_number_unsigned()) {
    const double inUse =
      body["load"].get<double>() * body["slots"].get<unsigned>();
    slots.OnLoadReport(
      aName, unsigned(std::max(0.0, std::ceil(inUse - 1e-6))), sentAt, now);
  }
  if (draining != it->second.mDraining) {
    Log(LogLevel::Info,
        "target_drain_reported",
        { { "target", aName.Text() }, { "draining", draining } });
    it->second.mDraining = draining;
  }
  slots.SetReportedDraining(aName, draining);
  if (draining) {
    mDispatcher.ClearQueue(aName, ResultCode::NoTarget);
  }
}

void TargetMonitor::ReportLoads()
{
  std::vector<peer::LoadSummary> loads;
  const TimePoint now = SteadyNow();
  for (const auto& it : mOwned) {
    const auto* target = mFleet.mInventory->FindTarget(it);
    const SlotState state = mDispatcher.Slots().State(it, now);
    const bool usable = state == SlotState::Free || state == SlotState::Full;
    peer::LoadSummary load;
    load.mTarget = it;
    load.mInFlight = mDispatcher.Slots().OccupiedSlots(it, now);
    load.mQueued = uint32_t(mDispatcher.Queued(it));
    load.mUsableSlots = target && usable ? target->mSlots : 0;
    loads.push_back(std::move(load));
  }
  mMembership.SetLoads(std::move(loads));
}

} // namespace pollenway
