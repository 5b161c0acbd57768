#include "ZoneMembership.h"

#include "Assert.h"
#include "RendezvousHash.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr Duration kConfirmRequestInterval = std::chrono::milliseconds(250);
constexpr Duration kMinBackOff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackOff = std::chrono::seconds(4);
// A longer gap between ticks means that the process was paused. Answers may
// still be unread, so the gap makes no member suspect.
constexpr Duration kMaxTickGap = std::chrono::seconds(1);
// Evictions start only if the store has answered recently: a confirmation is
// final, and without the store the view could not be updated to match it.
constexpr Duration kMaxStoreAnswerAge = std::chrono::seconds(3);
// A suspect that others keep in the view causes fewer store calls after this
// time.
constexpr Duration kLongSuspectTime = std::chrono::seconds(6);
constexpr Duration kMaxStoreAnswerAgeLongSuspect = std::chrono::seconds(20);
// A member that the platform lists as terminated is removed after this silence;
// a member that still answers stays.
constexpr Duration kTerminatedSilence = std::chrono::seconds(1);
// Delays the initiators of an eviction by rank, so that not all ask at once.
constexpr Duration kInitiatorDelayPerRank = std::chrono::milliseconds(300);
constexpr size_t kMaxInitiatorRank = 5;
// Limits of the additional lease requests in a tick: to suspects, and to
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
  , mGrantor(mOptions.mConfirmDelay)
  , mLastTick(aNow)
  , mNextHeartbeatAt(aNow)
  , mNextStoreReadAt(aNow)
{
  POLLENWAY_ASSERT(!mOptions.mSelf.mName.IsEmpty() &&
                     mOptions.mSelf.mIncarnation != 0,
                   "the instance has no name or no incarnation");
  mView.mZone = mOptions.mZone;
}

bool ZoneMembership::IsSelf(const ZoneMember& aMember) const
{
  return aMember.mName == mOptions.mSelf.mName &&
         aMember.mIncarnation == mOptions.mSelf.mIncarnation;
}

bool ZoneMembership::IsOnlyMember() const
{
  return mState == State::Member && mView.mMembers.size() == 1;
}

uint64_t ZoneMembership::ActingView() const
{
  return mState == State::Member ? mView.mNumber : 0;
}

bool ZoneMembership::MayActAsOwner(TimePoint aNow) const
{
  if (mState != State::Member) {
    return false;
  }
  if (IsOnlyMember() &&
      (!mPossibleSecondMemberAt ||
       aNow < *mPossibleSecondMemberAt + mOptions.mLeaseTime)) {
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
  const size_t limit = mOptions.mMaxFullMesh;
  if (ranked.size() > limit) {
    ranked.resize(mOptions.mNeighbours);
  }
  return ranked;
}

std::vector<ZoneMember> ZoneMembership::HeartbeatTargets() const
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
  return aNow >= *it->second.mUnansweredSince + mOptions.mSuspectTimeout +
                   kInitiatorDelayPerRank * int(rank);
}

bool ZoneMembership::IsListedAsTerminated(const ZoneMember& aMember) const
{
  const auto it = mTerminated.find(aMember.mName);
  return it != mTerminated.end() &&
         (it->second == 0 || it->second == aMember.mIncarnation);
}

bool ZoneMembership::IsTerminatedAndSilent(const ZoneMember& aMember,
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

Duration ZoneMembership::MaxStoreAnswerAge(const ZoneMember& aMember,
                                           TimePoint aNow) const
{
  const auto since = *mPeers.at(aMember.mName).mUnansweredSince;
  return aNow < since + mOptions.mSuspectTimeout + kLongSuspectTime
           ? kMaxStoreAnswerAge
           : kMaxStoreAnswerAgeLongSuspect;
}

std::vector<ZoneMember> ZoneMembership::LeaseRequestTargets(TimePoint aNow)
{
  std::vector<ZoneMember> out;
  const size_t others = mView.mMembers.size() - 1;
  if (others <= mOptions.mMaxFullMesh) {
    for (const auto& it : mView.mMembers) {
      if (!IsSelf(it)) {
        out.push_back(it);
      }
    }
    return out;
  }
  std::set<InstanceName> chosen(mOwnNeighbours.begin(), mOwnNeighbours.end());
  // Without a grant for half the lease time, all neighbours may have failed.
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
  POLLENWAY_ASSERT(aNow >= mLastTick, "the monotonic time decreased");
  if (aNow - mLastTick > kMaxTickGap) {
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
  if (!mIsStoreCallInFlight && aNow >= mNextStoreReadAt &&
      NeedsStoreRead(aNow)) {
    StartStoreRead(aNow, out);
  }
  return out;
}

bool ZoneMembership::NeedsStoreRead(TimePoint aNow) const
{
  if (mState == State::Joining || mState == State::Leaving ||
      mPossibleSecondMemberAt) {
    return true;
  }
  if (!mJoinRequests.empty() && IsOnlyMember()) {
    return true;
  }
  for (const auto& it : mView.mMembers) {
    if (IsSelf(it)) {
      continue;
    }
    if (IsTerminatedAndSilent(it, aNow)) {
      return true;
    }
    if (!IsSuspect(it, aNow)) {
      continue;
    }
    if (!mHasStoreAnswered ||
        aNow >= mLastStoreAnswerAt + MaxStoreAnswerAge(it, aNow) / 2) {
      return true;
    }
    // All have confirmed, but the view's version in the store is unknown.
    const auto eviction = mEvictions.find(it.mName);
    if (eviction != mEvictions.end() &&
        eviction->second.mConfirmedBy.size() + 2 >= mView.mMembers.size() &&
        !(mStoreVersion && mStoreVersionView == mView.mNumber)) {
      return true;
    }
  }
  return false;
}

void ZoneMembership::StartStoreRead(TimePoint aNow, MembershipActions& aOut)
{
  mIsStoreCallInFlight = true;
  BackOff(aNow);
  aOut.push_back(act::ReadView{});
}

void ZoneMembership::BackOff(TimePoint aNow)
{
  mStoreBackOff = std::clamp(mStoreBackOff * 2, kMinBackOff, kMaxBackOff);
  mNextStoreReadAt = aNow + mStoreBackOff / 2 +
                     Duration(mRandom.Below(uint64_t(mStoreBackOff.count())));
}

void ZoneMembership::CheckEvictions(TimePoint aNow, MembershipActions& aOut)
{
  bool isReady = false;
  for (const auto& it : mView.mMembers) {
    if (IsSelf(it) || IsTerminatedAndSilent(it, aNow)) {
      continue;
    }
    if (!IsSuspect(it, aNow)) {
      mEvictions.erase(it.mName);
      continue;
    }
    const auto maxStoreAnswerAge = MaxStoreAnswerAge(it, aNow);
    if (!mHasStoreAnswered || aNow >= mLastStoreAnswerAt + maxStoreAnswerAge) {
      continue;
    }
    auto& eviction = mEvictions[it.mName];
    if (aNow >= eviction.mNextRequestAt) {
      eviction.mNextRequestAt = aNow + (maxStoreAnswerAge == kMaxStoreAnswerAge
                                          ? kConfirmRequestInterval
                                          : kMaxBackOff);
      // Asks the neighbours first: they have granted leases to a live member
      // and refuse, so that no other member gives a final confirmation.
      std::vector<InstanceName> ask;
      const auto isMissing = [&](const InstanceName& aName) {
        return aName != mOptions.mSelf.mName &&
               !eviction.mConfirmedBy.contains(aName);
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
        aOut.push_back(act::RequestEvictionConfirmation{
          *mView.Find(name), it.mName, it.mIncarnation, mView.mNumber });
      }
    }
    isReady |= eviction.mConfirmedBy.size() + 2 >= mView.mMembers.size();
  }
  if (isReady && !mIsStoreCallInFlight && mStoreVersion &&
      mStoreVersionView == mView.mNumber) {
    Propose(aNow, aOut);
  }
}

bool ZoneMembership::TryConfirmEviction(const ZoneMember& aMember,
                                        TimePoint aNow)
{
  const auto eviction = mEvictions.find(aMember.mName);
  if (eviction == mEvictions.end() || !IsSuspect(aMember, aNow)) {
    return false;
  }
  for (const auto& it : mView.mMembers) {
    if (!IsSelf(it) && it.mName != aMember.mName &&
        !eviction->second.mConfirmedBy.contains(it.mName)) {
      return false;
    }
  }
  // This member confirms last, as its confirmation is final.
  if (!mGrantor.ConfirmEviction(aMember.mName, aMember.mIncarnation, aNow)) {
    return false;
  }
  mLease.RemoveGrants(aMember.mName);
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
    if (mIsLeaveRequested) {
      End(aOut);
      return mView;
    }
    if (next.mMembers.size() == 1 && !next.Find(self.mName)) {
      // The only member needs no lease, so no instance may join without its
      // knowledge: it would continue to use what the new member could take
      // over.
      if (mPossibleJoinView == 0) {
        mPossibleJoinView = mView.mNumber + 2;
      }
      aOut.push_back(act::RequestJoin{ next.mMembers[0] });
      return mView;
    }
    next = WithMember(next, self);
    next.mNumber = mView.mNumber + 1;
    return next;
  }
  // Makes one change at a time, as confirmations apply to one view only.
  for (const auto& it : mView.mMembers) {
    if (!IsSelf(it) &&
        (IsTerminatedAndSilent(it, aNow) || TryConfirmEviction(it, aNow))) {
      return WithoutMember(mView, it.mName, it.mIncarnation);
    }
  }
  if (IsOnlyMember() && !mJoinRequests.empty()) {
    return WithMember(mView, mJoinRequests.begin()->second);
  }
  if (mPossibleSecondMemberAt) {
    // Ends the uncertainty: no older update can take effect after this one.
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
                   "the view number did not increase by one");
  if (IsOnlyMember() && !mPossibleSecondMemberAt) {
    mPossibleSecondMemberAt = aNow;
  }
  if (mState == State::Member) {
    next = WithCompletedView(next, mOptions.mSelf.mName, mCompletedView);
  }
  next.mEarlier = mView.Homes().Next({}).mEarlier;
  mProposed = next;
  mIsStoreCallInFlight = true;
  aOut.push_back(act::WriteView{ ZoneViewToJson(next), *mStoreVersion });
}

MembershipActions ZoneMembership::OnStoreRead(TimePoint aNow,
                                              const Result<std::string>& aText,
                                              const std::string& aVersion)
{
  MembershipActions out;
  mIsStoreCallInFlight = false;
  if (mState == State::Ended || !aText) {
    return out;
  }
  ZoneView view;
  view.mZone = mOptions.mZone;
  if (!aText.value().empty()) {
    auto read = ZoneViewFromJson(aText.value());
    if (!read || read.value().mZone != mOptions.mZone) {
      out.push_back(act::LogWarning{
        "zone view in the store is not valid: " +
        (read ? "it names another zone" : read.error().mDetail) });
      return out;
    }
    view = std::move(read.value());
  }
  mLastStoreAnswerAt = aNow;
  mHasStoreAnswered = true;
  mStoreBackOff = {};
  if (view.mNumber < mView.mNumber) {
    // A stale read, or the store was restored from older data.
    mStoreVersion.reset();
    return out;
  }
  Adopt(view, aNow, out);
  if (mState == State::Ended) {
    return out;
  }
  mStoreVersion = aVersion;
  mStoreVersionView = view.mNumber;
  Propose(aNow, out);
  return out;
}

MembershipActions ZoneMembership::OnStoreWrite(TimePoint aNow,
                                               StoreWriteOutcome aOutcome,
                                               const std::string& aVersion)
{
  MembershipActions out;
  mIsStoreCallInFlight = false;
  if (mState == State::Ended) {
    return out;
  }
  mStoreVersion.reset();
  if (aOutcome == StoreWriteOutcome::Written) {
    mLastStoreAnswerAt = aNow;
    mHasStoreAnswered = true;
    if (mProposed.mNumber > mView.mNumber) {
      Adopt(mProposed, aNow, out);
      mStoreVersion = aVersion;
      mStoreVersionView = mProposed.mNumber;
    }
    return out;
  }
  if (aOutcome == StoreWriteOutcome::Unknown && mState == State::Joining) {
    mPossibleJoinView = mPossibleJoinView != 0
                          ? std::min(mPossibleJoinView, mProposed.mNumber)
                          : mProposed.mNumber;
  }
  // Reads the view back: the stored view is valid, not the proposed one.
  mNextStoreReadAt = aOutcome == StoreWriteOutcome::Conflict
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
  POLLENWAY_ASSERT(aView.mNumber >= mView.mNumber, "the view number decreased");
  if (aView.mNumber == mView.mNumber) {
    if (aView.Names() != mView.Names()) {
      aOut.push_back(act::LogWarning{ "two zone views have the number " +
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
  mPossibleSecondMemberAt.reset();
  mEvictions.clear();
  mGrantor.AdoptView(aView, aNow);
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return !mView.Contains(aEntry.first, aEntry.second.mIncarnation);
  });
  std::erase_if(mJoinRequests,
                [&](const auto& aEntry) { return mView.Find(aEntry.first); });
  mOwnNeighbours = NeighboursOf(mOptions.mSelf.mName);
  // An incarnation that joined without reading that view, and was then removed,
  // must not return.
  const bool isRemoved =
    wasMember || (mPossibleJoinView != 0 && aView.mNumber >= mPossibleJoinView);
  if (isMember && mState == State::Joining) {
    mState = mIsLeaveRequested ? State::Leaving : State::Member;
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

bool ZoneMembership::HasConfirmedEviction(const InstanceName& aMember,
                                          Incarnation aIncarnation) const
{
  return mGrantor.HasConfirmedEviction(aMember, aIncarnation);
}

MembershipActions ZoneMembership::OnLeaseRefused(TimePoint aNow)
{
  MembershipActions out;
  if (mState == State::Member && !MayActAsOwner(aNow)) {
    End(out);
  }
  return out;
}

void ZoneMembership::OnMessageReceived(TimePoint,
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
  // Messages can arrive out of order; a member's view number never decreases.
  peer.mReportedView = std::max(peer.mReportedView, aViewNumber);
}

bool ZoneMembership::OnLeaseRequest(TimePoint aNow,
                                    const InstanceName& aMember,
                                    Incarnation aIncarnation)
{
  return mState == State::Member &&
         mGrantor.GrantLease(aMember, aIncarnation, aNow);
}

void ZoneMembership::OnLeaseGranted(const InstanceName& aGrantor,
                                    Incarnation aIncarnation,
                                    TimePoint aSentAt)
{
  if (mState == State::Member && mView.Contains(aGrantor, aIncarnation) &&
      !mGrantor.HasConfirmedEviction(aGrantor, aIncarnation)) {
    mLease.RecordGrant(aGrantor, aIncarnation, aSentAt);
  }
}

bool ZoneMembership::OnEvictConfirmRequest(TimePoint aNow,
                                           const peer::EvictConfirm& aRequest)
{
  if (mState != State::Member || aRequest.mZone != mOptions.mZone ||
      aRequest.mViewNumber != mView.mNumber ||
      aRequest.mMember == mOptions.mSelf.mName ||
      !mGrantor.ConfirmEviction(
        aRequest.mMember, aRequest.mMemberIncarnation, aNow)) {
    return false;
  }
  mLease.RemoveGrants(aRequest.mMember);
  return true;
}

MembershipActions ZoneMembership::OnEvictionConfirmed(
  TimePoint aNow,
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
  it->second.mConfirmedBy.insert(aFrom);
  CheckEvictions(aNow, out);
  return out;
}

MembershipActions ZoneMembership::OnJoinRequest(TimePoint aNow,
                                                const ZoneMember& aMember)
{
  MembershipActions out;
  if (!IsOnlyMember() || aMember.mName == mOptions.mSelf.mName ||
      aMember.mIncarnation == 0 || mJoinRequests.size() >= kMaxJoinRequests ||
      mRemoved.contains({ aMember.mName, aMember.mIncarnation })) {
    return out;
  }
  mJoinRequests[aMember.mName] = aMember;
  if (!mIsStoreCallInFlight && aNow >= mNextStoreReadAt) {
    StartStoreRead(aNow, out);
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
  mIsLeaveRequested = true;
  if (mState == State::Joining && mPossibleJoinView == 0 &&
      !mIsStoreCallInFlight) {
    End(out);
  } else if (mState == State::Member) {
    mState = State::Leaving;
    // Grants stop before the update, as members that evict after it do not ask
    // this member.
    mGrantor.Stop();
    if (!mIsStoreCallInFlight) {
      StartStoreRead(aNow, out);
    }
  }
  return out;
}

} // namespace pollenway
