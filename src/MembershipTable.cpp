#include "MembershipTable.h"

#include "Assert.h"
#include "HashOf.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr Duration kViewFetchInterval = std::chrono::milliseconds(500);
constexpr Duration kWithdrawalsInterval = std::chrono::seconds(1);
// A withdrawal takes up to 30 bytes more than its key; this limit keeps a
// message far below the maximum frame size.
constexpr size_t kMaxWithdrawals = 3000;
constexpr size_t kMaxLoads = 256;
// The load of a target is discarded if no slot owner reports it for this long.
constexpr Duration kLoadLifetime = std::chrono::minutes(1);

} // namespace

MembershipTable::MembershipTable(Options aOptions,
                                 ProcessState aProcessState,
                                 TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mProcessState(aProcessState)
  , mZone(std::make_unique<ZoneMembership>(mOptions.mZone, aNow))
  , mPending(
      std::make_unique<PendingRequests>(mOptions.mZone.mSelf.mIncarnation))
  , mNextHeartbeatAt(aNow)
{
  // The start differs between instances, so that the instances of a zone do not
  // all contact the same instance of a remote zone at once.
  mMemberRotation = HashOf({ mOptions.mZone.mSelf.mName.Text() }) % 1024;
  mZoneRotation = mMemberRotation;
}

void MembershipTable::Rejoin(TimePoint aNow, Incarnation aIncarnation)
{
  POLLENWAY_ASSERT(mZone->GetState() == ZoneMembership::State::Ended,
                   "the previous incarnation has not ended");
  mOptions.mZone.mSelf.mIncarnation = aIncarnation;
  mOptions.mZone.mSeed += 1;
  mZone = std::make_unique<ZoneMembership>(mOptions.mZone, aNow);
  mPending = std::make_unique<PendingRequests>(aIncarnation);
  mPeers.clear();
  mIsViewsHashValid = false;
}

MembershipTable::Peer& MembershipTable::PeerOf(const InstanceName& aName,
                                               Incarnation aIncarnation)
{
  auto& peer = mPeers[aName];
  if (aIncarnation != 0 && peer.mIncarnation != aIncarnation) {
    peer = {};
    peer.mIncarnation = aIncarnation;
  }
  return peer;
}

ZoneMember MembershipTable::AddressOf(const InstanceName& aName) const
{
  if (const auto* member = mZone->View().Find(aName)) {
    return *member;
  }
  for (const auto& [zone, view] : mRemoteViews) {
    if (const auto* member = view.Find(aName)) {
      return *member;
    }
  }
  ZoneMember out;
  out.mName = aName;
  return out;
}

const ZoneView* MembershipTable::ViewOf(const ZoneName& aZone) const
{
  if (aZone == mZone->Zone()) {
    return &mZone->View();
  }
  const auto it = mRemoteViews.find(aZone);
  return it == mRemoteViews.end() ? nullptr : &it->second;
}

bool MembershipTable::IsLeaving(const InstanceName& aInstance) const
{
  const auto it = mPeers.find(aInstance);
  return it != mPeers.end() && it->second.mIsLeaving;
}

void MembershipTable::AddSeed(const ZoneMember& aMember)
{
  mSeeds.push_back(aMember);
}

void MembershipTable::SetLoads(std::vector<peer::LoadSummary> aLoads)
{
  mOwnLoads = std::move(aLoads);
  if (mOwnLoads.size() > kMaxLoads) {
    mOwnLoads.resize(kMaxLoads);
  }
}

uint64_t MembershipTable::ViewsHash()
{
  const auto& own = mZone->View();
  if (!mIsViewsHashValid || mHashedOwnViewNumber != own.mNumber) {
    const auto hashOf = [](const ZoneView& aView) {
      return HashOf({ aView.mZone.Text(), std::to_string(aView.mNumber) });
    };
    mViewsHash = own.mNumber ? hashOf(own) : 0;
    for (const auto& [zone, view] : mRemoteViews) {
      mViewsHash ^= hashOf(view);
    }
    mHashedOwnViewNumber = own.mNumber;
    mIsViewsHashValid = true;
  }
  return mViewsHash;
}

peer::Digest MembershipTable::MakeDigest(const Peer& aFor, bool aWithLoads)
{
  peer::Digest out;
  out.mZone = mZone->Zone();
  out.mOwnView = mZone->ActingView();
  out.mGeneration = mProcessState.mConfiguration.Generation();
  out.mConfigurationHash = mProcessState.mConfiguration.Hash();
  out.mViewsHash = ViewsHash();
  // Sends no list to a peer whose digest has not been received yet: at 4,800
  // instances nearly each heartbeat to a remote zone is a first contact, and
  // the list would be half of all bytes. The peer's reply shows the difference.
  if (aFor.mHasDigest && aFor.mViewsHash != out.mViewsHash) {
    if (mZone->View().mNumber) {
      out.mViews.push_back({ mZone->Zone(), mZone->View().mNumber });
    }
    for (const auto& [zone, view] : mRemoteViews) {
      out.mViews.push_back({ zone, view.mNumber });
    }
  }
  out.mWithdrawnCount = mProcessState.mWithdrawals.Count();
  out.mWithdrawnHash = mProcessState.mWithdrawals.Hash();
  out.mWithdrawnSynchronised = mProcessState.mWithdrawals.IsSynchronised();
  out.mLeaving = mZone->GetState() == ZoneMembership::State::Leaving;
  if (aWithLoads) {
    out.mLoads = mOwnLoads;
  }
  return out;
}

PeerMessage MembershipTable::MakeRequest(TimePoint aNow,
                                         const ZoneMember& aTo,
                                         PeerBody aBody,
                                         PeerKind aReplyKind)
{
  PeerMessage out;
  out.mSender = mZone->Self().mName;
  out.mIncarnation = mZone->Self().mIncarnation;
  out.mReceiverIncarnation = aTo.mIncarnation;
  out.mRequestId = mPending->Add(
    aTo.mName, aTo.mIncarnation, aReplyKind, aNow, mOptions.mLinkTimeout);
  out.mBody = std::move(aBody);
  return out;
}

void MembershipTable::Send(TimePoint aNow,
                           const ZoneMember& aTo,
                           PeerBody aBody,
                           PeerKind aReplyKind,
                           MembershipActions& aOut)
{
  auto& peer = PeerOf(aTo.mName, aTo.mIncarnation);
  if (!peer.mUnansweredSince) {
    peer.mUnansweredSince = aNow;
  }
  aOut.push_back(
    act::SendPeer{ aTo.mName,
                   aTo.mAddress,
                   aTo.mPeerPort,
                   MakeRequest(aNow, aTo, std::move(aBody), aReplyKind) });
}

void MembershipTable::SendOneWay(const ZoneMember& aTo,
                                 PeerBody aBody,
                                 MembershipActions& aOut) const
{
  PeerMessage message;
  message.mSender = mZone->Self().mName;
  message.mIncarnation = mZone->Self().mIncarnation;
  message.mReceiverIncarnation = aTo.mIncarnation;
  message.mBody = std::move(aBody);
  aOut.push_back(act::SendPeer{
    aTo.mName, aTo.mAddress, aTo.mPeerPort, std::move(message) });
}

void MembershipTable::Reply(const PeerMessage& aRequest,
                            PeerBody aBody,
                            MembershipActions& aOut) const
{
  const auto to = AddressOf(aRequest.mSender);
  PeerMessage reply;
  reply.mSender = mZone->Self().mName;
  reply.mIncarnation = mZone->Self().mIncarnation;
  reply.mReceiverIncarnation = aRequest.mIncarnation;
  reply.mRequestId = aRequest.mRequestId;
  reply.mIsReply = true;
  reply.mBody = std::move(aBody);
  aOut.push_back(act::SendPeer{
    aRequest.mSender, to.mAddress, to.mPeerPort, std::move(reply) });
}

void MembershipTable::SendHeartbeat(TimePoint aNow,
                                    const ZoneMember& aTo,
                                    bool aLeaseWanted,
                                    MembershipActions& aOut)
{
  const auto& peer = PeerOf(aTo.mName, aTo.mIncarnation);
  Send(aNow,
       aTo,
       peer::Heartbeat{ MakeDigest(peer, true), aLeaseWanted },
       PeerKind::HeartbeatReply,
       aOut);
}

void MembershipTable::ConvertActions(TimePoint aNow,
                                     MembershipActions aIn,
                                     MembershipActions& aOut)
{
  for (auto& it : aIn) {
    if (const auto* lease = std::get_if<act::SendLeaseRequest>(&it)) {
      SendHeartbeat(aNow, lease->mTo, true, aOut);
    } else if (const auto* ask =
                 std::get_if<act::RequestEvictionConfirmation>(&it)) {
      Send(aNow,
           ask->mTo,
           peer::EvictConfirm{ mZone->Zone(),
                               ask->mViewNumber,
                               ask->mMember,
                               ask->mMemberIncarnation },
           PeerKind::EvictConfirmReply,
           aOut);
    } else if (const auto* join = std::get_if<act::RequestJoin>(&it)) {
      const auto& self = mZone->Self();
      SendOneWay(join->mTo,
                 peer::Join{ mZone->Zone(),
                             self.mAddress,
                             self.mEntryPort,
                             self.mPeerPort,
                             self.mRelayPort },
                 aOut);
    } else {
      aOut.push_back(std::move(it));
    }
  }
}

void MembershipTable::SendRemoteHeartbeats(TimePoint aNow,
                                           MembershipActions& aOut)
{
  // While this instance is not a member, the instances of its own zone count as
  // remote: they can send the configuration but grant no lease.
  std::vector<const ZoneView*> zones;
  for (const auto& [zone, view] : mRemoteViews) {
    zones.push_back(&view);
  }
  if (mZone->GetState() != ZoneMembership::State::Member) {
    zones.push_back(&mZone->View());
  }
  std::erase_if(zones, [](auto* aView) { return aView->mMembers.empty(); });
  if (zones.empty()) {
    for (const auto& it : mSeeds) {
      SendHeartbeat(aNow, it, false, aOut);
    }
    return;
  }
  const size_t n = std::min(zones.size(), mOptions.mRemoteZonesPerInterval);
  for (size_t i = 0; i < n; ++i) {
    const auto& members = zones[mZoneRotation++ % zones.size()]->mMembers;
    const auto& to = members[mMemberRotation % members.size()];
    if (to.mName != mZone->Self().mName) {
      SendHeartbeat(aNow, to, false, aOut);
    }
  }
  // Advances after each round over the zones, so that each member of each zone
  // is contacted in turn for any numbers of zones and members.
  if (mZoneRotation / zones.size() != (mZoneRotation - n) / zones.size()) {
    ++mMemberRotation;
  }
}

MembershipActions MembershipTable::Tick(TimePoint aNow)
{
  MembershipActions out;
  mPending->Expire(aNow);
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    auto& [name, peer] = *it;
    if (peer.mUnansweredSince &&
        aNow >= *peer.mUnansweredSince + mOptions.mLinkTimeout) {
      out.push_back(act::CloseLink{ name });
      mPending->Abandon(name);
      peer.mUnansweredSince.reset();
      // Removes instances that no view lists any more.
      if (AddressOf(name).mIncarnation == 0) {
        it = mPeers.erase(it);
        continue;
      }
    }
    ++it;
  }
  ConvertActions(aNow, mZone->Tick(aNow), out);
  if (aNow >= mNextHeartbeatAt) {
    mNextHeartbeatAt = aNow + mOptions.mZone.mHeartbeatInterval;
    std::erase_if(mLoads, [&](const auto& aLoad) {
      return aNow >= aLoad.second.mObservedAt + kLoadLifetime;
    });
    SendRemoteHeartbeats(aNow, out);
  }
  return out;
}

MembershipActions MembershipTable::Handle(TimePoint aNow,
                                          const PeerMessage& aMessage)
{
  MembershipActions out;
  if (aMessage.mIsReply) {
    OnReply(aNow, aMessage, out);
  } else if (aMessage.mReceiverIncarnation == 0 ||
             aMessage.mReceiverIncarnation == mZone->Self().mIncarnation) {
    OnRequest(aNow, aMessage, out);
  }
  return out;
}

void MembershipTable::OnReply(TimePoint aNow,
                              const PeerMessage& aMessage,
                              MembershipActions& aOut)
{
  const auto request = mPending->Match(aMessage, aNow);
  if (!request) {
    return;
  }
  PeerOf(aMessage.mSender, aMessage.mIncarnation).mUnansweredSince.reset();
  const bool isOutside = !mZone->View().Find(aMessage.mSender);
  if (isOutside || mRemoteViews.empty()) {
    mProcessState.mCutOff.RecordContact(aNow);
  }
  const auto& body = aMessage.mBody;
  if (const auto* heartbeat = std::get_if<peer::HeartbeatReply>(&body)) {
    if (heartbeat->mLeaseGranted) {
      mZone->OnLeaseGranted(
        aMessage.mSender, aMessage.mIncarnation, request->mSentAt);
    } else if (heartbeat->mLeaseRefused) {
      ConvertActions(aNow, mZone->OnLeaseRefused(aNow), aOut);
    }
    OnDigest(aNow, aMessage, heartbeat->mDigest, aOut);
  } else if (const auto* found = std::get_if<peer::Configuration>(&body)) {
    OnConfiguration(aMessage.mSender, *found, aOut);
  } else if (const auto* view = std::get_if<peer::View>(&body)) {
    const auto read = ZoneViewFromJson(view->mText);
    if (read && read.value().mZone == view->mZone) {
      const auto actions = OfferView(aNow, read.value());
      aOut.insert(aOut.end(), actions.begin(), actions.end());
    }
  } else if (const auto* keys = std::get_if<peer::Withdrawals>(&body)) {
    OnWithdrawals(aNow, aMessage.mSender, *keys, aOut);
  } else if (const auto* evict = std::get_if<peer::EvictConfirmReply>(&body)) {
    if (evict->mConfirmed) {
      ConvertActions(aNow,
                     mZone->OnEvictionConfirmed(aNow,
                                                aMessage.mSender,
                                                evict->mViewNumber,
                                                evict->mMember,
                                                evict->mMemberIncarnation),
                     aOut);
    }
  }
}

void MembershipTable::OnRequest(TimePoint aNow,
                                const PeerMessage& aMessage,
                                MembershipActions& aOut)
{
  const auto& body = aMessage.mBody;
  const auto& from = aMessage.mSender;
  if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&body)) {
    const bool isGranted =
      heartbeat->mLeaseRequested &&
      mZone->OnLeaseRequest(aNow, from, aMessage.mIncarnation);
    OnDigest(aNow, aMessage, heartbeat->mDigest, aOut);
    const auto& peer = PeerOf(from, aMessage.mIncarnation);
    Reply(aMessage,
          peer::HeartbeatReply{
            MakeDigest(peer, false),
            isGranted,
            heartbeat->mLeaseRequested &&
              mZone->HasConfirmedEviction(from, aMessage.mIncarnation) },
          aOut);
  } else if (const auto* join = std::get_if<peer::Join>(&body)) {
    if (join->mZone == mZone->Zone()) {
      const ZoneMember member{ from,
                               aMessage.mIncarnation,
                               join->mAddress,
                               join->mEntryPort,
                               join->mPeerPort,
                               join->mRelayPort,
                               0 };
      ConvertActions(aNow, mZone->OnJoinRequest(aNow, member), aOut);
    }
  } else if (const auto* pushed = std::get_if<peer::Configuration>(&body)) {
    OnConfiguration(from, *pushed, aOut);
  } else if (const auto* fetch = std::get_if<peer::FetchConfiguration>(&body)) {
    const auto& own = mProcessState.mConfiguration;
    if (own.Generation() > fetch->mKnownGeneration) {
      Reply(
        aMessage, peer::Configuration{ own.Generation(), own.Text() }, aOut);
    }
  } else if (const auto* wanted = std::get_if<peer::FetchView>(&body)) {
    const auto* view = ViewOf(wanted->mZone);
    if (view && view->mNumber > wanted->mKnownNumber) {
      Reply(aMessage, peer::View{ wanted->mZone, ZoneViewToJson(*view) }, aOut);
    }
  } else if (const auto* keys = std::get_if<peer::Withdrawals>(&body)) {
    OnWithdrawals(aNow, from, *keys, aOut);
    auto all = mProcessState.mWithdrawals.All();
    // The next exchange sends the rest, as the digests still differ.
    if (all.size() > kMaxWithdrawals) {
      std::rotate(all.begin(),
                  all.begin() + long(aMessage.mRequestId % all.size()),
                  all.end());
      all.resize(kMaxWithdrawals);
    }
    Reply(aMessage, peer::Withdrawals{ std::move(all) }, aOut);
  } else if (const auto* evict = std::get_if<peer::EvictConfirm>(&body)) {
    const bool isConfirmed = mZone->OnEvictConfirmRequest(aNow, *evict);
    Reply(aMessage,
          peer::EvictConfirmReply{ evict->mMember,
                                   evict->mMemberIncarnation,
                                   evict->mViewNumber,
                                   isConfirmed },
          aOut);
  } else if (std::holds_alternative<peer::Leaving>(body)) {
    PeerOf(from, aMessage.mIncarnation).mIsLeaving = true;
  }
}

void MembershipTable::OnDigest(TimePoint aNow,
                               const PeerMessage& aMessage,
                               const peer::Digest& aDigest,
                               MembershipActions& aOut)
{
  const auto& from = aMessage.mSender;
  auto& peer = PeerOf(from, aMessage.mIncarnation);
  peer.mHasDigest = true;
  peer.mIsLeaving |= aDigest.mLeaving;
  peer.mViewsHash = aDigest.mViewsHash;
  peer.mWithdrawnCount = aDigest.mWithdrawnCount;
  peer.mWithdrawnHash = aDigest.mWithdrawnHash;
  peer.mWithdrawnSynchronised = aDigest.mWithdrawnSynchronised;
  if (aDigest.mZone == mZone->Zone()) {
    mZone->OnMessageReceived(
      aNow, from, aMessage.mIncarnation, aDigest.mOwnView);
  }
  for (const auto& it : aDigest.mLoads) {
    mLoads[it.mTarget] = { it,
                           from,
                           aNow - std::chrono::milliseconds(it.mAgeMs) };
  }
  auto to = AddressOf(from);
  for (const auto& it : mSeeds) {
    if (to.mAddress.empty() && it.mName == from) {
      to = it;
    }
  }
  to.mIncarnation = aMessage.mIncarnation;
  switch (mProcessState.mConfiguration.OnPeerGeneration(
    aDigest.mGeneration, aDigest.mConfigurationHash, aNow)) {
    case ConfigurationTracker::PeerAction::Fetch:
      Send(
        aNow,
        to,
        peer::FetchConfiguration{ mProcessState.mConfiguration.Generation() },
        PeerKind::Configuration,
        aOut);
      break;
    case ConfigurationTracker::PeerAction::ContentDiffers:
      aOut.push_back(act::LogWarning{
        "instance " + from.Text() + " has configuration generation " +
        std::to_string(aDigest.mGeneration) + " with different content" });
      break;
    case ConfigurationTracker::PeerAction::Send:
      // The peer reads the higher generation from this instance's heartbeat or
      // reply, so nothing is sent here.
    case ConfigurationTracker::PeerAction::Nothing:
      break;
  }
  if (aDigest.mViewsHash != ViewsHash()) {
    for (const auto& it : aDigest.mViews) {
      const auto* known = ViewOf(it.mZone);
      const uint64_t number = known ? known->mNumber : 0;
      auto& next = mNextViewFetchAt[it.mZone];
      if (it.mNumber > number && aNow >= next) {
        next = aNow + kViewFetchInterval;
        Send(
          aNow, to, peer::FetchView{ it.mZone, number }, PeerKind::View, aOut);
      }
    }
  }
  auto& own = mProcessState.mWithdrawals;
  if (aDigest.mWithdrawnCount == own.Count() &&
      aDigest.mWithdrawnHash == own.Hash()) {
    if (aDigest.mWithdrawnSynchronised) {
      own.MarkSynchronised();
    }
  } else if (aNow >= peer.mNextWithdrawalExchangeAt) {
    peer.mNextWithdrawalExchangeAt = aNow + kWithdrawalsInterval;
    auto all = own.All();
    if (all.size() > kMaxWithdrawals) {
      all.resize(kMaxWithdrawals);
    }
    Send(aNow,
         to,
         peer::Withdrawals{ std::move(all) },
         PeerKind::Withdrawals,
         aOut);
  }
}

void MembershipTable::OnConfiguration(const InstanceName& aFrom,
                                      const peer::Configuration& aBody,
                                      MembershipActions& aOut) const
{
  if (aBody.mGeneration > mProcessState.mConfiguration.Generation()) {
    aOut.push_back(
      act::ConfigurationOffered{ aFrom, aBody.mGeneration, aBody.mText });
  }
}

void MembershipTable::OnWithdrawals(TimePoint aNow,
                                    const InstanceName& aFrom,
                                    const peer::Withdrawals& aBody,
                                    MembershipActions& aOut)
{
  const auto added = mProcessState.mWithdrawals.Merge(aBody.mWithdrawals);
  const auto& peer = mPeers[aFrom];
  if (peer.mWithdrawnSynchronised &&
      mProcessState.mWithdrawals.Count() >= peer.mWithdrawnCount) {
    mProcessState.mWithdrawals.MarkSynchronised();
  }
  if (!added.empty()) {
    PropagateWithdrawals(aNow, added, aFrom, false, aOut);
  }
}

void MembershipTable::PropagateWithdrawals(TimePoint aNow,
                                           const std::vector<KeyId>& aKeys,
                                           const InstanceName& aExcept,
                                           bool aToRemoteZones,
                                           MembershipActions& aOut)
{
  peer::Withdrawals body;
  for (const auto& it : mProcessState.mWithdrawals.All()) {
    if (std::find(aKeys.begin(), aKeys.end(), it.mKey) != aKeys.end() &&
        body.mWithdrawals.size() < kMaxWithdrawals) {
      body.mWithdrawals.push_back(it);
    }
  }
  for (const auto& it : mZone->HeartbeatTargets()) {
    if (it.mName != aExcept) {
      Send(aNow, it, body, PeerKind::Withdrawals, aOut);
    }
  }
  if (!aToRemoteZones) {
    return;
  }
  for (const auto& [zone, view] : mRemoteViews) {
    if (!view.mMembers.empty()) {
      const auto& to = view.mMembers[mMemberRotation++ % view.mMembers.size()];
      Send(aNow, to, body, PeerKind::Withdrawals, aOut);
    }
  }
}

MembershipActions MembershipTable::Withdraw(TimePoint aNow, const KeyId& aKey)
{
  MembershipActions out;
  if (mProcessState.mWithdrawals.Add(aKey)) {
    PropagateWithdrawals(aNow, { aKey }, {}, true, out);
  }
  return out;
}

MembershipActions MembershipTable::OfferView(TimePoint aNow,
                                             const ZoneView& aView)
{
  MembershipActions out;
  if (aView.mZone == mZone->Zone()) {
    ConvertActions(aNow, mZone->OnView(aNow, aView), out);
    return out;
  }
  auto& known = mRemoteViews[aView.mZone];
  if (aView.mNumber > known.mNumber) {
    known = aView;
    mIsViewsHashValid = false;
  }
  return out;
}

MembershipActions MembershipTable::OnStoreRead(TimePoint aNow,
                                               const Result<std::string>& aText,
                                               const std::string& aVersion)
{
  MembershipActions out;
  ConvertActions(aNow, mZone->OnStoreRead(aNow, aText, aVersion), out);
  return out;
}

MembershipActions MembershipTable::OnStoreWrite(TimePoint aNow,
                                                StoreWriteOutcome aOutcome,
                                                const std::string& aVersion)
{
  MembershipActions out;
  ConvertActions(aNow, mZone->OnStoreWrite(aNow, aOutcome, aVersion), out);
  return out;
}

MembershipActions MembershipTable::BeginLeave(TimePoint aNow)
{
  MembershipActions out;
  ConvertActions(aNow, mZone->BeginLeave(aNow), out);
  return out;
}

void MembershipTable::OnTerminated(const InstanceName& aInstance,
                                   Incarnation aIncarnation)
{
  mZone->OnTerminated(aInstance, aIncarnation);
}

std::vector<MembershipTable::ZoneWithdrawalStatus>
MembershipTable::WithdrawalReport() const
{
  const auto& own = mProcessState.mWithdrawals;
  std::vector<ZoneWithdrawalStatus> out;
  const auto add = [&](const ZoneView& aView) {
    ZoneWithdrawalStatus zone{ aView.mZone, aView.mMembers.size(), 0 };
    for (const auto& it : aView.mMembers) {
      const auto peer = mPeers.find(it.mName);
      const bool isSelf = it.mName == mZone->Self().mName;
      zone.mConfirmed +=
        isSelf || (peer != mPeers.end() && peer->second.mHasDigest &&
                   peer->second.mIncarnation == it.mIncarnation &&
                   peer->second.mWithdrawnCount == own.Count() &&
                   peer->second.mWithdrawnHash == own.Hash());
    }
    out.push_back(std::move(zone));
  };
  add(mZone->View());
  for (const auto& [zone, view] : mRemoteViews) {
    add(view);
  }
  return out;
}

} // namespace pollenway
