#include "ZoneMembership.h"

#include "Assert.h"
#include "RendezvousHash.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(250);
constexpr Duration kMinBackOff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackOff = std::chrono::seconds(4);
// A gap between ticks above this means that the process was paused: answers
// may wait unread, so that no member is suspect because of it.
constexpr Duration kPauseGap = std::chrono::seconds(1);
// Evictions start only with a store that answered lately: a confirmation is
// final, and without the store the view could not follow.
constexpr Duration kStoreFresh = std::chrono::seconds(3);
// A suspect that others keep in the view costs less store calls after this.
constexpr Duration kLongSuspect = std::chrono::seconds(6);
constexpr Duration kLongStoreFresh = std::chrono::seconds(20);
// A member that the platform lists as terminated, but that answers, stays.
constexpr Duration kTerminatedSilence = std::chrono::seconds(1);
// Ranks the initiators of an eviction, so that not all ask at once.
constexpr Duration kInitiatorStep = std::chrono::milliseconds(300);
constexpr size_t kMaxInitiatorRank = 5;
// Bounds of the additional lease requests in a tick: to suspects, and to
// members that have not reported this view.
constexpr size_t kMaxSuspects = 4;
constexpr size_t kMaxUnsettled = 20;
constexpr size_t kMaxJoinRequests = 64;
constexpr size_t kMaxRemoved = 4096;

} // namespace

ZoneMembership::ZoneMembership(Options aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mLease(mOptions.mLeaseTime)
  , mGrantor(mOptions.mConfirmTime)
  , mLastTick(aNow)
  , mNextHeartbeatAt(aNow)
  , mNextStoreAt(aNow)
{
  POLLENWAY_ASSERT(!mOptions.mSelf.mName.IsEmpty() &&
                     mOptions.mSelf.mIncarnation != 0,
                   "an instance has a name and an incarnation");
  mView.mZone = mOptions.mZone;
}

bool ZoneMembership::IsSelf(const ZoneMember& aMember) const
{
  return aMember.mName == mOptions.mSelf.mName &&
         aMember.mIncarnation == mOptions.mSelf.mIncarnation;
}

bool ZoneMembership::IsAlone() const
{
  return mState == State::Member && mView.mMembers.size() == 1;
}

uint64_t ZoneMembership::ActingView() const
{
  return mState == State::Member ? mView.mNumber : 0;
}

bool ZoneMembership::MayUse(TimePoint aNow) const
{
  if (mState != State::Member) {
    return false;
  }
  if (IsAlone() &&
      (!mMaybeJoinedAt || aNow < *mMaybeJoinedAt + mOptions.mLeaseTime)) {
    return true;
  }
  return mLease.IsValid(aNow);
}

bool ZoneMembership::IsSettled() const
{
  if (mState != State::Member) {
    return false;
  }
  for (const auto& it : mView.mMembers) {
    if (IsSelf(it)) {
      continue;
    }
    const auto found = mPeers.find(it.mName);
    if (found == mPeers.end() ||
        found->second.mIncarnation != it.mIncarnation ||
        found->second.mReportedView != mView.mNumber) {
      return false;
    }
  }
  return true;
}

ZoneMembership::Peer& ZoneMembership::PeerOf(const ZoneMember& aMember)
{
  auto& peer = mPeers[aMember.mName];
  if (peer.mIncarnation != aMember.mIncarnation) {
    peer = {};
    peer.mIncarnation = aMember.mIncarnation;
  }
  return peer;
}

std::vector<InstanceName> ZoneMembership::NeighboursOf(
  const InstanceName& aName) const
{
  auto names = mView.Names();
  std::erase(names, aName);
  auto ranked = RankByRendezvous(aName.Text(), names);
  const size_t limit = mOptions.mFullMesh;
  if (ranked.size() > limit) {
    ranked.resize(mOptions.mNeighbours);
  }
  return ranked;
}

std::vector<ZoneMember> ZoneMembership::HeartbeatMembers() const
{
  std::vector<ZoneMember> out;
  if (mState == State::Member) {
    for (const auto& it : mOwnNeighbours) {
      out.push_back(*mView.Find(it));
    }
  }
  return out;
}

bool ZoneMembership::IsSuspect(const ZoneMember& aMember, TimePoint aNow) const
{
  const auto it = mPeers.find(aMember.mName);
  if (it == mPeers.end() || !it->second.mUnansweredSince) {
    return false;
  }
  const auto neighbours = NeighboursOf(aMember.mName);
  const auto at =
    std::find(neighbours.begin(), neighbours.end(), mOptions.mSelf.mName);
  const size_t rank =
    std::min(size_t(at - neighbours.begin()), kMaxInitiatorRank);
  return aNow >= *it->second.mUnansweredSince + mOptions.mSuspectTime +
                   kInitiatorStep * int(rank);
}

bool ZoneMembership::IsListedAsTerminated(const ZoneMember& aMember) const
{
  const auto it = mTerminated.find(aMember.mName);
  return it != mTerminated.end() &&
         (it->second == 0 || it->second == aMember.mIncarnation);
}

bool ZoneMembership::IsTerminated(const ZoneMember& aMember,
                                  TimePoint aNow) const
{
  if (!IsListedAsTerminated(aMember)) {
    return false;
  }
  if (mState == State::Joining) {
    return true;
  }
  const auto it = mPeers.find(aMember.mName);
  return it != mPeers.end() && it->second.mUnansweredSince &&
         aNow >= *it->second.mUnansweredSince + kTerminatedSilence;
}

Duration ZoneMembership::StoreFreshness(const ZoneMember& aMember,
                                        TimePoint aNow) const
{
  const auto since = *mPeers.at(aMember.mName).mUnansweredSince;
  return aNow < since + mOptions.mSuspectTime + kLongSuspect ? kStoreFresh
                                                             : kLongStoreFresh;
}

std::vector<ZoneMember> ZoneMembership::LeaseRequestTargets(TimePoint aNow)
{
  std::vector<ZoneMember> out;
  const size_t others = mView.mMembers.size() - 1;
  if (others <= mOptions.mFullMesh) {
    for (const auto& it : mView.mMembers) {
      if (!IsSelf(it)) {
        out.push_back(it);
      }
    }
    return out;
  }
  std::set<InstanceName> chosen(mOwnNeighbours.begin(), mOwnNeighbours.end());
  // Without a grant for half the lease time the neighbours may all be dead.
  const bool isUrgent = !mLease.IsValid(aNow + mOptions.mLeaseTime / 2);
  const size_t n = mView.mMembers.size();
  for (size_t more = isUrgent ? mOptions.mNeighbours : 1; more > 0;) {
    const auto& it = mView.mMembers[mRotation++ % n];
    if (!IsSelf(it)) {
      chosen.insert(it.mName);
      --more;
    }
  }
  size_t suspects = 0;
  size_t unsettled = 0;
  for (size_t i = 0; i < n; ++i) {
    const auto& it = mView.mMembers[(mRotation + i) % n];
    if (IsSelf(it)) {
      continue;
    }
    const auto& peer = PeerOf(it);
    if (peer.mUnansweredSince) {
      if (suspects++ < kMaxSuspects) {
        chosen.insert(it.mName);
      }
    } else if (peer.mReportedView < mView.mNumber &&
               unsettled++ < kMaxUnsettled) {
      chosen.insert(it.mName);
    }
  }
  for (const auto& it : chosen) {
    out.push_back(*mView.Find(it));
  }
  return out;
}

MembershipActions ZoneMembership::Tick(TimePoint aNow)
{
  MembershipActions out;
  POLLENWAY_ASSERT(aNow >= mLastTick, "monotonic time does not go back");
  if (aNow - mLastTick > kPauseGap) {
    for (auto& [name, peer] : mPeers) {
      if (peer.mUnansweredSince) {
        peer.mUnansweredSince = aNow;
      }
    }
  }
  mLastTick = aNow;
  if (mState == State::Ended) {
    return out;
  }
  if (mState == State::Member && aNow >= mNextHeartbeatAt) {
    mNextHeartbeatAt = aNow + mOptions.mHeartbeatInterval;
    for (const auto& it : LeaseRequestTargets(aNow)) {
      auto& peer = PeerOf(it);
      if (!peer.mUnansweredSince) {
        peer.mUnansweredSince = aNow;
      }
      out.push_back(act::SendLeaseRequest{ it });
    }
  }
  if (mState == State::Member) {
    CheckEvictions(aNow, out);
  }
  if (!mIsStoreBusy && aNow >= mNextStoreAt && WantsStore(aNow)) {
    ReadStore(aNow, out);
  }
  return out;
}

bool ZoneMembership::WantsStore(TimePoint aNow) const
{
  if (mState == State::Joining || mState == State::Leaving || mMaybeJoinedAt) {
    return true;
  }
  if (!mJoinRequests.empty() && IsAlone()) {
    return true;
  }
  for (const auto& it : mView.mMembers) {
    if (IsSelf(it)) {
      continue;
    }
    if (IsTerminated(it, aNow)) {
      return true;
    }
    if (!IsSuspect(it, aNow)) {
      continue;
    }
    if (!mHasStoreAnswered ||
        aNow >= mStoreAnsweredAt + StoreFreshness(it, aNow) / 2) {
      return true;
    }
    // All have confirmed, but the version of the view is not known.
    const auto eviction = mEvictions.find(it.mName);
    if (eviction != mEvictions.end() &&
        eviction->second.mConfirmed.size() + 2 >= mView.mMembers.size() &&
        !(mVersion && mVersionView == mView.mNumber)) {
      return true;
    }
  }
  return false;
}

void ZoneMembership::ReadStore(TimePoint aNow, MembershipActions& aOut)
{
  mIsStoreBusy = true;
  BackOff(aNow);
  aOut.push_back(act::ReadView{});
}

void ZoneMembership::BackOff(TimePoint aNow)
{
  mBackOff = std::clamp(mBackOff * 2, kMinBackOff, kMaxBackOff);
  mNextStoreAt =
    aNow + mBackOff / 2 + Duration(mRandom.Below(uint64_t(mBackOff.count())));
}

void ZoneMembership::CheckEvictions(TimePoint aNow, MembershipActions& aOut)
{
  bool isReady = false;
  for (const auto& it : mView.mMembers) {
    if (IsSelf(it) || IsTerminated(it, aNow)) {
      continue;
    }
    if (!IsSuspect(it, aNow)) {
      mEvictions.erase(it.mName);
      continue;
    }
    const auto freshness = StoreFreshness(it, aNow);
    if (!mHasStoreAnswered || aNow >= mStoreAnsweredAt + freshness) {
      continue;
    }
    auto& eviction = mEvictions[it.mName];
    if (aNow >= eviction.mNextAskAt) {
      eviction.mNextAskAt =
        aNow + (freshness == kStoreFresh ? kAskInterval : kMaxBackOff);
      // The neighbours are asked first: they answer a live member and refuse,
      // so that nobody else gives a final confirmation for it.
      std::vector<InstanceName> ask;
      const auto isMissing = [&](const InstanceName& aName) {
        return aName != mOptions.mSelf.mName &&
               !eviction.mConfirmed.contains(aName);
      };
      for (const auto& name : NeighboursOf(it.mName)) {
        if (isMissing(name)) {
          ask.push_back(name);
        }
      }
      if (ask.empty()) {
        for (const auto& name : mView.Names()) {
          if (name != it.mName && isMissing(name)) {
            ask.push_back(name);
          }
        }
      }
      for (const auto& name : ask) {
        aOut.push_back(act::AskConfirmation{
          *mView.Find(name), it.mName, it.mIncarnation, mView.mNumber });
      }
    }
    isReady |= eviction.mConfirmed.size() + 2 >= mView.mMembers.size();
  }
  if (isReady && !mIsStoreBusy && mVersion && mVersionView == mView.mNumber) {
    Propose(aNow, aOut);
  }
}

bool ZoneMembership::IsConfirmedByAll(const ZoneMember& aMember, TimePoint aNow)
{
  const auto eviction = mEvictions.find(aMember.mName);
  if (eviction == mEvictions.end() || !IsSuspect(aMember, aNow)) {
    return false;
  }
  for (const auto& it : mView.mMembers) {
    if (!IsSelf(it) && it.mName != aMember.mName &&
        !eviction->second.mConfirmed.contains(it.mName)) {
      return false;
    }
  }
  // Its own confirmation comes last, as it is final.
  if (!mGrantor.Confirm(aMember.mName, aMember.mIncarnation, aNow)) {
    return false;
  }
  mLease.Drop(aMember.mName);
  return true;
}

ZoneView ZoneMembership::NextView(TimePoint aNow, MembershipActions& aOut)
{
  const auto& self = mOptions.mSelf;
  if (mState == State::Leaving) {
    return WithoutMember(mView, self.mName, self.mIncarnation);
  }
  if (mState == State::Joining) {
    auto next = mView;
    for (const auto& it : mView.mMembers) {
      if (IsListedAsTerminated(it) && it.mName != self.mName) {
        next = WithoutMember(next, it.mName, it.mIncarnation);
      }
    }
    if (mIsLeaveWanted) {
      End(aOut);
      return mView;
    }
    if (next.mMembers.size() == 1 && !next.Find(self.mName)) {
      // The only member needs no lease, so nobody may join without its
      // knowledge: it would go on using what the new member could take over.
      if (mUnknownJoin == 0) {
        mUnknownJoin = mView.mNumber + 2;
      }
      aOut.push_back(act::AskToJoin{ next.mMembers[0] });
      return mView;
    }
    next = WithMember(next, self);
    next.mNumber = mView.mNumber + 1;
    return next;
  }
  // One change at a time: confirmations belong to a view.
  for (const auto& it : mView.mMembers) {
    if (!IsSelf(it) && (IsTerminated(it, aNow) || IsConfirmedByAll(it, aNow))) {
      return WithoutMember(mView, it.mName, it.mIncarnation);
    }
  }
  if (IsAlone() && !mJoinRequests.empty()) {
    return WithMember(mView, mJoinRequests.begin()->second);
  }
  if (mMaybeJoinedAt) {
    // Ends the uncertainty: after this no older update can take effect.
    return WithMember(mView, self);
  }
  return mView;
}

void ZoneMembership::Propose(TimePoint aNow, MembershipActions& aOut)
{
  auto next = NextView(aNow, aOut);
  if (next.mNumber == mView.mNumber) {
    return;
  }
  POLLENWAY_ASSERT(next.mNumber == mView.mNumber + 1,
                   "the view number grows by one with each change");
  if (IsAlone() && !mMaybeJoinedAt) {
    mMaybeJoinedAt = aNow;
  }
  if (mState == State::Member) {
    next = WithCompletedView(next, mOptions.mSelf.mName, mCompletedView);
  }
  next.mEarlier = mView.Homes().Next({}).mEarlier;
  mProposed = next;
  mIsStoreBusy = true;
  aOut.push_back(act::WriteView{ ZoneViewToJson(next), *mVersion });
}

MembershipActions ZoneMembership::OnStoreRead(TimePoint aNow,
                                              const Result<std::string>& aText,
                                              const std::string& aVersion)
{
  MembershipActions out;
  mIsStoreBusy = false;
  if (mState == State::Ended || !aText) {
    return out;
  }
  ZoneView view;
  view.mZone = mOptions.mZone;
  if (!aText.value().empty()) {
    auto read = ZoneViewFromJson(aText.value());
    if (!read || read.value().mZone != mOptions.mZone) {
      out.push_back(
        act::Report{ "zone view in the store is not valid: " +
                     (read ? "it names another zone" : read.error().mDetail) });
      return out;
    }
    view = std::move(read.value());
  }
  mStoreAnsweredAt = aNow;
  mHasStoreAnswered = true;
  mBackOff = {};
  if (view.mNumber < mView.mNumber) {
    // A stale read, or the store was restored from older data.
    mVersion.reset();
    return out;
  }
  Adopt(view, aNow, out);
  if (mState == State::Ended) {
    return out;
  }
  mVersion = aVersion;
  mVersionView = view.mNumber;
  Propose(aNow, out);
  return out;
}

MembershipActions ZoneMembership::OnStoreWrite(TimePoint aNow,
                                               StoreWriteOutcome aOutcome,
                                               const std::string& aVersion)
{
  MembershipActions out;
  mIsStoreBusy = false;
  if (mState == State::Ended) {
    return out;
  }
  mVersion.reset();
  if (aOutcome == StoreWriteOutcome::Written) {
    mStoreAnsweredAt = aNow;
    mHasStoreAnswered = true;
    if (mProposed.mNumber > mView.mNumber) {
      Adopt(mProposed, aNow, out);
      mVersion = aVersion;
      mVersionView = mProposed.mNumber;
    }
    return out;
  }
  if (aOutcome == StoreWriteOutcome::Unknown && mState == State::Joining) {
    mUnknownJoin = mUnknownJoin != 0 ? std::min(mUnknownJoin, mProposed.mNumber)
                                     : mProposed.mNumber;
  }
  // Reads back: what is stored decides, not what was proposed.
  mNextStoreAt = aOutcome == StoreWriteOutcome::Conflict
                   ? aNow + Duration(mRandom.Below(kMinBackOff.count()))
                   : aNow + kMinBackOff;
  return out;
}

MembershipActions ZoneMembership::OnView(TimePoint aNow, const ZoneView& aView)
{
  MembershipActions out;
  if (mState != State::Ended && aView.mZone == mOptions.mZone &&
      aView.mNumber > mView.mNumber) {
    Adopt(aView, aNow, out);
  }
  return out;
}

void ZoneMembership::Adopt(const ZoneView& aView,
                           TimePoint aNow,
                           MembershipActions& aOut)
{
  POLLENWAY_ASSERT(aView.mNumber >= mView.mNumber,
                   "the view number never goes back");
  if (aView.mNumber == mView.mNumber) {
    if (aView.Names() != mView.Names()) {
      aOut.push_back(act::Report{ "two zone views have the number " +
                                  std::to_string(aView.mNumber) });
    }
    return;
  }
  const bool wasMember = mState == State::Member || mState == State::Leaving;
  const bool isMember =
    aView.Contains(mOptions.mSelf.mName, mOptions.mSelf.mIncarnation);
  for (const auto& it : mView.mMembers) {
    if (!aView.Contains(it.mName, it.mIncarnation)) {
      mRemoved.emplace(it.mName, it.mIncarnation);
    }
  }
  if (mRemoved.size() > kMaxRemoved) {
    mRemoved.erase(mRemoved.begin());
  }
  mView = aView;
  mMaybeJoinedAt.reset();
  mEvictions.clear();
  mGrantor.AdoptView(aView, aNow);
  std::erase_if(mPeers, [&](const auto& aOne) {
    return !mView.Contains(aOne.first, aOne.second.mIncarnation);
  });
  std::erase_if(mJoinRequests,
                [&](const auto& aOne) { return mView.Find(aOne.first); });
  mOwnNeighbours = NeighboursOf(mOptions.mSelf.mName);
  // A run that joined without seeing it, and was removed, must not return.
  const bool isRemoved =
    wasMember || (mUnknownJoin != 0 && aView.mNumber >= mUnknownJoin);
  if (isMember && mState == State::Joining) {
    mState = mIsLeaveWanted ? State::Leaving : State::Member;
  }
  aOut.push_back(act::ViewAdopted{ mView });
  if (!isMember && isRemoved) {
    End(aOut);
  }
}

void ZoneMembership::End(MembershipActions& aOut)
{
  mState = State::Ended;
  mGrantor.Stop();
  aOut.push_back(act::Ended{});
}

bool ZoneMembership::HasConfirmed(const InstanceName& aMember,
                                  Incarnation aIncarnation) const
{
  return mGrantor.HasConfirmed(aMember, aIncarnation);
}

MembershipActions ZoneMembership::OnLeaseRefused(TimePoint aNow)
{
  MembershipActions out;
  if (mState == State::Member && !MayUse(aNow)) {
    End(out);
  }
  return out;
}

void ZoneMembership::OnHeard(TimePoint,
                             const InstanceName& aMember,
                             Incarnation aIncarnation,
                             uint64_t aViewNumber)
{
  const auto* member = mView.Find(aMember);
  if (!member || member->mIncarnation != aIncarnation || IsSelf(*member)) {
    return;
  }
  auto& peer = PeerOf(*member);
  peer.mUnansweredSince.reset();
  // Messages can overtake each other; a member's view number only grows.
  peer.mReportedView = std::max(peer.mReportedView, aViewNumber);
}

bool ZoneMembership::OnLeaseRequest(TimePoint aNow,
                                    const InstanceName& aMember,
                                    Incarnation aIncarnation)
{
  return mState == State::Member &&
         mGrantor.Answer(aMember, aIncarnation, aNow);
}

void ZoneMembership::OnLeaseGranted(const InstanceName& aGrantor,
                                    Incarnation aIncarnation,
                                    TimePoint aSentAt)
{
  if (mState == State::Member && mView.Contains(aGrantor, aIncarnation) &&
      !mGrantor.HasConfirmed(aGrantor, aIncarnation)) {
    mLease.NoteGrant(aGrantor, aIncarnation, aSentAt);
  }
}

bool ZoneMembership::OnEvictConfirm(TimePoint aNow,
                                    const peer::EvictConfirm& aRequest)
{
  if (mState != State::Member || aRequest.mZone != mOptions.mZone ||
      aRequest.mViewNumber != mView.mNumber ||
      aRequest.mMember == mOptions.mSelf.mName ||
      !mGrantor.Confirm(aRequest.mMember, aRequest.mMemberIncarnation, aNow)) {
    return false;
  }
  mLease.Drop(aRequest.mMember);
  return true;
}

MembershipActions ZoneMembership::OnConfirmed(TimePoint aNow,
                                              const InstanceName& aFrom,
                                              uint64_t aViewNumber,
                                              const InstanceName& aMember,
                                              Incarnation aIncarnation)
{
  MembershipActions out;
  const auto it = mEvictions.find(aMember);
  if (mState != State::Member || aViewNumber != mView.mNumber ||
      it == mEvictions.end() || !mView.Contains(aMember, aIncarnation)) {
    return out;
  }
  it->second.mConfirmed.insert(aFrom);
  CheckEvictions(aNow, out);
  return out;
}

MembershipActions ZoneMembership::OnJoinRequest(TimePoint aNow,
                                                const ZoneMember& aMember)
{
  MembershipActions out;
  if (!IsAlone() || aMember.mName == mOptions.mSelf.mName ||
      aMember.mIncarnation == 0 || mJoinRequests.size() >= kMaxJoinRequests ||
      mRemoved.contains({ aMember.mName, aMember.mIncarnation })) {
    return out;
  }
  mJoinRequests[aMember.mName] = aMember;
  if (!mIsStoreBusy && aNow >= mNextStoreAt) {
    ReadStore(aNow, out);
  }
  return out;
}

void ZoneMembership::OnTerminated(const InstanceName& aInstance,
                                  Incarnation aIncarnation)
{
  if (aInstance != mOptions.mSelf.mName) {
    mTerminated[aInstance] = aIncarnation;
  }
}

MembershipActions ZoneMembership::BeginLeave(TimePoint aNow)
{
  MembershipActions out;
  mIsLeaveWanted = true;
  if (mState == State::Joining && mUnknownJoin == 0 && !mIsStoreBusy) {
    End(out);
  } else if (mState == State::Member) {
    mState = State::Leaving;
    // Grants stop before the update: later evictors do not ask this member.
    mGrantor.Stop();
    if (!mIsStoreBusy) {
      ReadStore(aNow, out);
    }
  }
  return out;
}

} // namespace pollenway
