#include "AccountHolder.h"

#include "Assert.h"

#include <algorithm>
#include <utility>

namespace pollenway {

namespace {

constexpr double kRounding = 1e-9;
// Retry-After when the time of the next token is unknown.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Returns the name under which tokens are held. An instance numbers its
/// requests separately as an owner and as an instance.
std::string HolderKey(const AdmitRequest& aRequest)
{
  return (aRequest.mFromOwner ? "owner/" : "instance/") + aRequest.mFrom.Text();
}

} // namespace

AccountHolder::AccountHolder(InstanceName aSelf,
                             ZoneName aZone,
                             std::vector<Peer> aPeers,
                             Options aOptions)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mOptions(aOptions)
  , mBucket(0, 0, TimePoint{})
  , mBalancer(mZone, aOptions.mBalancer)
  , mDemand(aOptions.mDemandTimeConstant)
{
  for (const auto& it : aPeers) {
    mPeers.emplace(it.mZone,
                   PeerZone{ .mLatency = it.mLatency,
                             .mDirectDemand =
                               DemandEstimate(aOptions.mDemandTimeConstant) });
  }
}

void AccountHolder::BeginTakeover(uint64_t aView,
                                  std::vector<InstanceName> aOthers,
                                  TimePoint aNow)
{
  if (aView <= mView) {
    return;
  }
  mView = aView;
  if (mState == State::Active) {
    return;
  }
  mState = State::TakingOver;
  mUnanswered = std::move(aOthers);
  if (mUnanswered.empty()) {
    StartEmpty(aNow);
  }
}

void AccountHolder::OnHandoverAnswer(const InstanceName& aFrom,
                                     const HandoverAnswer& aAnswer,
                                     TimePoint aNow)
{
  if (mState != State::TakingOver || aAnswer.mView != mView ||
      std::erase(mUnanswered, aFrom) == 0) {
    return;
  }
  // Only one member can have held the account. It no longer answers requests
  // of earlier views, so no takeover of an earlier view can complete.
  if (aAnswer.mState) {
    StartFrom(*aAnswer.mState, aNow);
  } else if (mUnanswered.empty()) {
    StartEmpty(aNow);
  }
}

std::optional<HandoverAnswer> AccountHolder::HandOver(uint64_t aView,
                                                      TimePoint aNow,
                                                      Actions& aActions)
{
  if (aView < mView || (aView == mView && mState != State::Idle)) {
    return std::nullopt;
  }
  if (aView == mView) {
    return mAnswer;
  }
  mView = aView;
  mAnswer = { .mView = aView };
  if (mState == State::Active) {
    RefuseAll(aNow, aActions);
    AccountState state{ .mTokens = mBucket.Tokens(aNow),
                        .mCommitted = mBalancer.Committed(),
                        .mPending = mBalancer.Pending(),
                        .mFenceRequired = mBalancer.IsFenceRequired(),
                        .mGeneration = mGeneration,
                        .mRate = mRate,
                        .mBurst = mBurst,
                        .mDemand = Demand(aNow) };
    for (const auto& it : mBucket.Holds()) {
      const Duration left = it.mUntil - aNow;
      state.mHolds.push_back({ .mRemaining = left + left / kClockDriftDivisor,
                               .mAmount = it.mAmount,
                               .mHolder = it.mHolder,
                               .mRequest = it.mRequest });
    }
    mAnswer.mState = std::move(state);
  }
  mBucket.Retire(aNow);
  mOpenRequests.clear();
  mUnanswered.clear();
  mState = State::Idle;
  return mAnswer;
}

void AccountHolder::StartEmpty(TimePoint aNow)
{
  // A predecessor's unexpired grants may still be in use. They are unknown
  // here, so refilling starts when the last of them has expired.
  Start(TokenBucket(0, 0, aNow + HoldTime(kMaxGrantValidity)), aNow);
  mBalancer.Restore(std::nullopt, std::nullopt);
  mBalancer.RequireFence();
  ApplyShare(aNow);
}

void AccountHolder::StartFrom(const AccountState& aState, TimePoint aNow)
{
  Start(TokenBucket(0, 0, aNow), aNow);
  mBalancer.Restore(aState.mCommitted, aState.mPending);
  if (aState.mFenceRequired) {
    mBalancer.RequireFence();
  }
  SetTotal(aState.mGeneration, aState.mRate, aState.mBurst, aNow);
  ApplyShare(aNow);
  for (const auto& it : aState.mHolds) {
    mBucket.AddHold({ .mUntil = aNow + it.mRemaining,
                      .mAmount = it.mAmount,
                      .mHolder = it.mHolder,
                      .mRequest = it.mRequest },
                    aNow);
  }
  mBucket.Put(aState.mTokens, aNow);
  mDemand = DemandEstimate(mOptions.mDemandTimeConstant);
  mDemand.Add(aState.mDemand * ToSeconds(mOptions.mDemandTimeConstant), aNow);
}

void AccountHolder::Start(TokenBucket aBucket, TimePoint aNow)
{
  mState = State::Active;
  mUnanswered.clear();
  mBucket = std::move(aBucket);
  mNextBalanceAt = aNow + mOptions.mBalancer.mMoveInterval;
}

void AccountHolder::SetTotal(uint64_t aGeneration,
                             double aRate,
                             double aBurst,
                             TimePoint aNow)
{
  if (aGeneration <= mGeneration) {
    return;
  }
  mGeneration = aGeneration;
  mRate = aRate;
  mBurst = aBurst;
  ApplyShare(aNow);
}

AccountHolder::Actions AccountHolder::Admit(const AdmitRequest& aRequest,
                                            TimePoint aNow,
                                            bool aLeaseValid)
{
  Actions actions;
  WaitingRequest waiting{ .mRequest = aRequest, .mReceivedAt = aNow };
  if (mState != State::Active || !aLeaseValid) {
    Refuse(waiting, ResultCode::LimitOwnerUnavailable, aNow, actions);
    return actions;
  }
  mBucket.ReleaseHolds(HolderKey(aRequest), aRequest.mSettledUpTo, aNow);
  const auto peer = mPeers.find(aRequest.mZone);
  if (aRequest.mFromOwner) {
    if (peer != mPeers.end()) {
      peer->second.mDemand = aRequest.mDemand;
      peer->second.mDemandReportedAt = aNow;
      peer->second.mSilentUntil = aNow;
    }
  }
  // Requests that are already waiting are served first.
  ServeWaiting(aNow, actions);
  const bool isFirst = CountLocalWaiters() == 0;
  if (aRequest.mFromOwner) {
    if (!isFirst || !TryGrantToOwner(waiting, aNow, actions)) {
      Refuse(waiting, ResultCode::RateExceeded, aNow, actions);
    }
    return actions;
  }
  const double requests = 1 + double(aRequest.mDecidedLocally);
  if (peer != mPeers.end()) {
    peer->second.mDirectDemand.Add(requests, aNow);
    peer->second.mLastDirectAt = aNow;
  } else {
    mDemand.Add(requests, aNow);
  }
  if (isFirst && TryGrant(waiting, aNow, actions)) {
    return actions;
  }
  if (mWaiting.size() >= mOptions.mMaxWaitingRequests) {
    Refuse(waiting, ResultCode::RateExceeded, aNow, actions);
    return actions;
  }
  waiting.mSerial = ++mLastWaitingSerial;
  if (RequestFromNextZone(waiting, aNow, actions)) {
    mWaiting.push_back(std::move(waiting));
  }
  return actions;
}

AccountHolder::Actions AccountHolder::OnReply(const AdmitReply& aReply,
                                              TimePoint aNow,
                                              bool aLeaseValid)
{
  Actions actions;
  const auto it = mOpenRequests.find(aReply.mId);
  if (mState != State::Active || it == mOpenRequests.end() ||
      it->second.mZone != aReply.mZone) {
    return actions;
  }
  const OpenRequest open = it->second;
  mOpenRequests.erase(it);
  PeerZone& peer = mPeers.at(open.mZone);
  peer.mReportedAt = aNow - peer.mLatency;
  peer.mReportedTokens = aReply.mTokens;
  peer.mDemand = aReply.mDemand;
  peer.mDemandReportedAt = aNow;
  peer.mSilentUntil = aReply.mCode == ResultCode::LimitOwnerUnavailable
                        ? aNow + mOptions.mSilentRetryDelay
                        : aNow;
  if (!aLeaseValid) {
    RefuseAll(aNow, actions);
    return actions;
  }
  const TimePoint until = open.mSentAt + aReply.mDecisionTime + open.mValidity;
  if (aNow < until) {
    // Whole tokens are granted directly to waiting requests, within the
    // validity set by the granting zone: a bucket whose depth is below 1 can't
    // store them.
    uint32_t left = aReply.mGranted;
    std::erase_if(mWaiting, [&](const WaitingRequest& aWaiting) {
      if (left == 0) {
        return false;
      }
      ForwardGrant(aWaiting, until, aNow, actions);
      --left;
      return true;
    });
    mBucket.Put(left, aNow);
    ServeWaiting(aNow, actions);
  }
  ContinueWaiting(open.mWaitingSerial, aNow, actions);
  return actions;
}

AccountHolder::Actions AccountHolder::OnTimer(TimePoint aNow, bool aLeaseValid)
{
  Actions actions;
  if (mState != State::Active) {
    return actions;
  }
  if (!aLeaseValid) {
    RefuseAll(aNow, actions);
    return actions;
  }
  std::vector<uint64_t> stalled;
  std::erase_if(mOpenRequests, [&](const auto& aOpen) {
    if (aNow - aOpen.second.mSentAt < mOptions.mAnswerTimeout) {
      return false;
    }
    mPeers.at(aOpen.second.mZone).mSilentUntil =
      aNow + mOptions.mSilentRetryDelay;
    stalled.push_back(aOpen.second.mWaitingSerial);
    return true;
  });
  ServeWaiting(aNow, actions);
  for (const uint64_t it : stalled) {
    ContinueWaiting(it, aNow, actions);
  }
  std::erase_if(mWaiting, [&](const WaitingRequest& aWaiting) {
    // A request that waits for a local token gets it before this timeout.
    if (aNow - aWaiting.mReceivedAt < mOptions.mMaxRemoteWait) {
      return false;
    }
    Refuse(aWaiting, ResultCode::LimitOwnerUnavailable, aNow, actions);
    return true;
  });
  if (aNow >= mNextBalanceAt && mGeneration > 0) {
    mBalancer.ConsiderMove(Demands(aNow), mRate, mBurst, aNow);
    ApplyShare(aNow);
  }
  return actions;
}

std::optional<TimePoint> AccountHolder::NextTimer(TimePoint aNow)
{
  if (CountLocalWaiters() == 0) {
    return std::nullopt;
  }
  const Duration wait = mBucket.TimeUntil(1, aNow);
  // One nanosecond compensates for rounding towards zero.
  return aNow + std::min(wait, mOptions.mMaxRemoteWait) + Duration(1);
}

void AccountHolder::OnZoneReport(const ZoneName& aZone,
                                 double aPerSecond,
                                 double aTokens,
                                 TimePoint aNow)
{
  const auto it = mPeers.find(aZone);
  if (it == mPeers.end()) {
    return;
  }
  PeerZone& peer = it->second;
  peer.mDemand = aPerSecond;
  peer.mDemandReportedAt = aNow;
  peer.mReportedAt = aNow - peer.mLatency;
  peer.mReportedTokens = aTokens;
  peer.mSilentUntil = aNow;
}

std::optional<uint64_t> AccountHolder::NeededRead() const
{
  return mState == State::Active ? mBalancer.NeededRead() : std::nullopt;
}

void AccountHolder::OnStoreRead(uint64_t aSerial,
                                const std::optional<Allotment>& aRead,
                                TimePoint aNow)
{
  mBalancer.OnStoreRead(aSerial, aRead);
  ApplyShare(aNow);
}

void AccountHolder::OnCommitted(const Allotment& aCommitted, TimePoint aNow)
{
  mBalancer.OnCommitted(aCommitted);
  ApplyShare(aNow);
}

std::optional<AllotmentWrite> AccountHolder::NextWrite(TimePoint aNow,
                                                       bool aLeaseValid)
{
  if (mState != State::Active || !aLeaseValid || mGeneration == 0) {
    return std::nullopt;
  }
  ApplyShare(aNow);
  std::vector<ZoneName> zones{ mZone };
  for (const auto& it : mPeers) {
    zones.push_back(it.first);
  }
  const Allotment initial =
    IsDivisible() ? Allotment::Equal(zones) : Allotment::Single(mZone);
  // Tokens granted under the larger share may still be in use, so the share
  // must not be moved before they have expired.
  const bool holdsFit = mBucket.Held(aNow) <= mBucket.Depth() + kRounding;
  return mBalancer.NextWrite(initial, holdsFit, aNow);
}

void AccountHolder::OnWriteResult(uint64_t aSerial,
                                  MoveOutcome aOutcome,
                                  TimePoint aNow)
{
  mBalancer.OnWriteResult(aSerial, aOutcome, aNow);
  ApplyShare(aNow);
}

void AccountHolder::ApplyShare(TimePoint aNow)
{
  if (mState != State::Active) {
    return;
  }
  const double fraction =
    double(mBalancer.UsableFraction()) / double(Allotment::kWhole);
  POLLENWAY_ASSERT(fraction <= 1, "a zone's fraction exceeds the whole");
  mBucket.SetRateAndDepth(mRate * fraction, mBurst * fraction, aNow);
  mSingleZone = ZoneName();
  if (mBucket.Depth() < 1 && mBalancer.Committed()) {
    uint32_t maxFraction = 0;
    for (const auto& it : mBalancer.Committed()->Fractions()) {
      if (it.first != mZone && it.second > maxFraction) {
        maxFraction = it.second;
        mSingleZone = it.first;
      }
    }
    if (double(maxFraction) * mBurst < double(Allotment::kWhole)) {
      mSingleZone = ZoneName();
    }
  }
}

size_t AccountHolder::CountLocalWaiters() const
{
  return size_t(std::count_if(
    mWaiting.begin(), mWaiting.end(), [](const WaitingRequest& aWaiting) {
      return aWaiting.mAwaitsLocalToken;
    }));
}

bool AccountHolder::AwaitLocalToken(WaitingRequest& aWaiting,
                                    Duration aLimit,
                                    TimePoint aNow)
{
  if (!IsDivisible() || mBucket.Rate() <= 0 ||
      mWaiting.size() >= mOptions.mMaxWaitingRequests) {
    return false;
  }
  const Duration queueDelay =
    FromSeconds(double(CountLocalWaiters()) / mBucket.Rate());
  if (mBucket.TimeUntil(1, aNow) > aLimit - queueDelay) {
    return false;
  }
  aWaiting.mAwaitsLocalToken = true;
  return true;
}

bool AccountHolder::IsDivisible() const
{
  return !mBalancer.UsesSingleZone(mRate, mBurst, mPeers.size() + 1);
}

double AccountHolder::DepthOf(const ZoneName& aZone) const
{
  const auto& committed = mBalancer.Committed();
  return committed ? mBurst * double(committed->Fraction(aZone)) /
                       double(Allotment::kWhole)
                   : 0;
}

double AccountHolder::EstimatedTokens(const ZoneName& aZone,
                                      const PeerZone& aPeer,
                                      TimePoint aNow) const
{
  const double depth = DepthOf(aZone);
  if (aPeer.mReportedAt == TimePoint{} || depth <= 0) {
    return depth;
  }
  const double age = ToSeconds(aNow + aPeer.mLatency - aPeer.mReportedAt);
  return std::min(depth, aPeer.mReportedTokens + mRate * depth / mBurst * age);
}

const ZoneName* AccountHolder::NextCandidate(const WaitingRequest& aWaiting,
                                             TimePoint aNow) const
{
  const double reserved = IsDivisible() ? mOptions.mReservedFraction : 0;
  const ZoneName* best = nullptr;
  double bestTokens = 0;
  Duration bestLatency{};
  for (const auto& [zone, peer] : mPeers) {
    const double tokens =
      EstimatedTokens(zone, peer, aNow) - reserved * DepthOf(zone);
    if (aWaiting.mAskedZones.count(zone) || aNow < peer.mSilentUntil ||
        tokens + 1e-6 < 1) {
      continue;
    }
    if (!best || peer.mLatency < bestLatency ||
        (peer.mLatency == bestLatency && tokens > bestTokens)) {
      best = &zone;
      bestTokens = tokens;
      bestLatency = peer.mLatency;
    }
  }
  return best;
}

Duration AccountHolder::RetryAfter(TimePoint aNow)
{
  Duration best = mBucket.TimeUntil(1, aNow);
  const double reserved = IsDivisible() ? mOptions.mReservedFraction : 0;
  for (const auto& [zone, peer] : mPeers) {
    const double depth = DepthOf(zone);
    const double wanted = 1 + reserved * depth;
    if (aNow < peer.mSilentUntil || mBurst <= 0 || depth < wanted) {
      continue;
    }
    const double rate = mRate * depth / mBurst;
    const double lack = wanted - EstimatedTokens(zone, peer, aNow);
    best = std::min(best, FromSeconds(std::max(0.0, lack) / rate));
  }
  if (best == Duration::max()) {
    return kDefaultRetryAfter;
  }
  // A request that arrives up to `wait` before the token waits for it instead
  // of being refused.
  const Duration wait = IsDivisible() ? mOptions.mMaxLocalWait : Duration{};
  return std::max(best - wait, Duration::zero());
}

bool AccountHolder::TryGrant(const WaitingRequest& aWaiting,
                             TimePoint aNow,
                             Actions& aActions)
{
  const AdmitRequest& request = aWaiting.mRequest;
  const double tokens = mBucket.Tokens(aNow);
  if (tokens + kRounding < 1) {
    return false;
  }
  if (request.mFrom == mSelf) {
    mBucket.Take(1, aNow);
    AdmitReply reply = MakeReply(request, ResultCode::Ok, aNow);
    reply.mGranted = 1;
    reply.mDecisionTime = aNow - aWaiting.mReceivedAt;
    aActions.mReplies.push_back({ request.mFrom, false, reply });
    return true;
  }
  return GrantHeld(
    aWaiting, tokens, mOptions.mBatchExtraFraction, false, aNow, aActions);
}

bool AccountHolder::GrantHeld(const WaitingRequest& aWaiting,
                              double aTokens,
                              double aExtraFraction,
                              bool aToOwner,
                              TimePoint aNow,
                              Actions& aActions)
{
  const AdmitRequest& request = aWaiting.mRequest;
  const double extra =
    std::min(double(request.mCount) - 1, (aTokens - 1) * aExtraFraction);
  const uint32_t count = 1 + uint32_t(std::max(0.0, extra));
  const Duration validity = std::min(request.mValidity, kMaxGrantValidity);
  // The tokens are deducted and held before the answer is created, so a lost
  // answer loses tokens and never creates any.
  if (!mBucket.TakeHeld(count,
                        aNow,
                        aNow + HoldTime(validity),
                        HolderKey(request),
                        request.mId)) {
    return false;
  }
  AdmitReply reply = MakeReply(request, ResultCode::Ok, aNow);
  reply.mGranted = count;
  // The receiver adds the validity that it requested to the decision time, so
  // the amount by which the validity was shortened is deducted here.
  reply.mDecisionTime =
    aNow - aWaiting.mReceivedAt - (request.mValidity - validity);
  aActions.mReplies.push_back({ request.mFrom, aToOwner, reply });
  return true;
}

bool AccountHolder::TryGrantToOwner(const WaitingRequest& aWaiting,
                                    TimePoint aNow,
                                    Actions& aActions)
{
  const AdmitRequest& request = aWaiting.mRequest;
  const double reserved =
    request.mHasShare ? mOptions.mReservedFraction * mBucket.Depth() : 0;
  const double tokens = mBucket.Tokens(aNow) - reserved;
  if (tokens + kRounding < 1) {
    return false;
  }
  return GrantHeld(
    aWaiting, tokens, mOptions.mOwnerExtraFraction, true, aNow, aActions);
}

void AccountHolder::ForwardGrant(const WaitingRequest& aWaiting,
                                 TimePoint aUntil,
                                 TimePoint aNow,
                                 Actions& aActions)
{
  const AdmitRequest& request = aWaiting.mRequest;
  AdmitReply reply = MakeReply(request, ResultCode::Ok, aNow);
  reply.mGranted = 1;
  reply.mDecisionTime =
    std::min(aNow - aWaiting.mReceivedAt,
             aUntil - aWaiting.mReceivedAt - request.mValidity);
  aActions.mReplies.push_back({ request.mFrom, false, reply });
}

void AccountHolder::Refuse(const WaitingRequest& aWaiting,
                           ResultCode aCode,
                           TimePoint aNow,
                           Actions& aActions)
{
  AdmitReply reply = MakeReply(aWaiting.mRequest, aCode, aNow);
  reply.mDecisionTime = aNow - aWaiting.mReceivedAt;
  reply.mRetryAfter =
    aCode == ResultCode::RateExceeded ? RetryAfter(aNow) : kDefaultRetryAfter;
  aActions.mReplies.push_back(
    { aWaiting.mRequest.mFrom, aWaiting.mRequest.mFromOwner, reply });
}

bool AccountHolder::RequestFromNextZone(WaitingRequest& aWaiting,
                                        TimePoint aNow,
                                        Actions& aActions)
{
  const ZoneName* zone = NextCandidate(aWaiting, aNow);
  // Waiting for a local token up to a round trip to the remote zone is no
  // slower than asking that zone, and costs no messages.
  const Duration limit =
    zone ? 2 * mPeers.at(*zone).mLatency : mOptions.mMaxLocalWait;
  if (AwaitLocalToken(aWaiting, limit, aNow)) {
    return true;
  }
  if (!zone) {
    const bool hasSilentZone =
      std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
        return aNow < aPeer.second.mSilentUntil;
      });
    const bool canHoldToken = mBucket.Depth() >= 1;
    Refuse(aWaiting,
           hasSilentZone && !canHoldToken ? ResultCode::LimitOwnerUnavailable
                                          : ResultCode::RateExceeded,
           aNow,
           aActions);
    return false;
  }
  const double depth = mBucket.Depth();
  AdmitRequest request{
    .mFrom = mSelf, .mZone = mZone, .mFromOwner = true, .mDemand = Demand(aNow)
  };
  if (IsDivisible()) {
    request.mHasShare = true;
    request.mCount =
      std::max(1u, uint32_t(depth * mOptions.mExchangeFraction + 0.5));
  }
  request.mValidity = std::min(
    2 * mPeers.at(*zone).mLatency + mOptions.mExchangeSlack, kMaxGrantValidity);
  request.mSettledUpTo =
    mOpenRequests.empty() ? mLastSentId : mOpenRequests.begin()->first - 1;
  request.mId = ++mLastSentId;
  mOpenRequests[request.mId] = { .mWaitingSerial = aWaiting.mSerial,
                                 .mZone = *zone,
                                 .mSentAt = aNow,
                                 .mValidity = request.mValidity };
  aWaiting.mAskedZones.insert(*zone);
  aActions.mRequests.push_back({ *zone, std::move(request) });
  return true;
}

void AccountHolder::ContinueWaiting(uint64_t aSerial,
                                    TimePoint aNow,
                                    Actions& aActions)
{
  const auto it = std::find_if(
    mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aWaiting) {
      return aWaiting.mSerial == aSerial;
    });
  if (it != mWaiting.end() && !RequestFromNextZone(*it, aNow, aActions)) {
    mWaiting.erase(it);
  }
}

void AccountHolder::ServeWaiting(TimePoint aNow, Actions& aActions)
{
  size_t n = 0;
  while (n < mWaiting.size() && TryGrant(mWaiting[n], aNow, aActions)) {
    ++n;
  }
  mWaiting.erase(mWaiting.begin(), mWaiting.begin() + ptrdiff_t(n));
}

void AccountHolder::RefuseAll(TimePoint aNow, Actions& aActions)
{
  for (const auto& it : mWaiting) {
    Refuse(it, ResultCode::LimitOwnerUnavailable, aNow, aActions);
  }
  mWaiting.clear();
}

AdmitReply AccountHolder::MakeReply(const AdmitRequest& aRequest,
                                    ResultCode aCode,
                                    TimePoint aNow)
{
  AdmitReply reply{ .mId = aRequest.mId, .mZone = mZone, .mCode = aCode };
  if (mState != State::Active) {
    return reply;
  }
  reply.mTokens = mBucket.Tokens(aNow);
  reply.mDemand = Demand(aNow);
  if (!aRequest.mFromOwner && aRequest.mFrom != mSelf &&
      !mSingleZone.IsEmpty()) {
    reply.mHintZone = mSingleZone;
    reply.mHintValidity =
      std::min(2 * mPeers.at(mSingleZone).mLatency + mOptions.mExchangeSlack,
               kMaxGrantValidity);
  }
  return reply;
}

std::map<ZoneName, ZoneDemand> AccountHolder::Demands(TimePoint aNow) const
{
  std::map<ZoneName, ZoneDemand> out;
  out[mZone] = { .mPerSecond = Demand(aNow), .mIsCurrent = true };
  for (const auto& [zone, peer] : mPeers) {
    const TimePoint last = std::max(peer.mDemandReportedAt, peer.mLastDirectAt);
    out[zone] = {
      .mPerSecond = peer.mDemand + peer.mDirectDemand.PerSecond(aNow),
      .mIsCurrent = last != TimePoint{} && aNow - last <= mOptions.mMaxReportAge
    };
  }
  return out;
}

} // namespace pollenway
