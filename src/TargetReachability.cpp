#include "TargetReachability.h"

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// Number of targets at which new connections must fail: more than are likely
/// to be tested by chance while half of all are gone. A deployment with fewer
/// targets needs all of them, but at least two: a single one may have crashed.
constexpr size_t kMinTargets = 8;
constexpr size_t kMinFailedTargets = 2;
/// Number of targets at which new connections must succeed again.
constexpr size_t kMinBackTargets = 4;
/// Multiple of `kMinTargets` that must fail while other targets answer on open
/// connections: many targets may be gone by themselves.
constexpr size_t kAnsweringFactor = 2;
/// Number of services, and of zones, to which these targets must belong.
constexpr size_t kMinGroups = 2;
/// Minimum time from the first doubt to the decision, in which a test of a
/// remote target succeeds if the path works: a round trip takes up to 110 ms.
constexpr Duration kMinDoubtTime = 150ms;
/// A failure counts for this time.
constexpr Duration kFailureTtl = 3s;
/// Time without an answer or a new connection, from the first attempt, after
/// which the paths are in doubt. Much longer than a round trip.
constexpr Duration kMaxSilence = 150ms;
/// Time for which the paths stay in doubt after a failure.
constexpr Duration kDoubtTime = 1s;
/// Interval between tests while the paths are lost, and while there is no
/// doubt.
constexpr Duration kProbeInterval = 50ms;
constexpr Duration kIdleProbeInterval = 1s;
/// Minimum time between two tests of one target.
constexpr Duration kTargetProbeInterval = 300ms;
/// Maximum number of tests in progress: enough to decide within the timeout of
/// a single connection attempt.
constexpr size_t kMaxProbes = 8;
/// The same at the start of a doubt, which a slow answer may have caused, and
/// the time after which one that none of these has ended needs more.
constexpr size_t kMaxFirstProbes = 2;
constexpr Duration kFirstProbesTime = 130ms;
/// Time after which a test without an outcome no longer counts as in progress.
constexpr Duration kMaxProbeTime = 2s;
/// A target counts as reachable before an isolation for this time after its
/// last sign.
constexpr Duration kReachableTtl = 15s;
/// Time for which the paths must be back before the isolation ends, doubled for
/// each isolation that follows closely.
constexpr Duration kMinReturnDelay = 1s;
constexpr Duration kMaxReturnDelay = 8s;
constexpr unsigned kMaxFlaps = 3;
/// Isolations that follow each other within this time are a flapping path.
constexpr Duration kFlapMemory = 30s;
/// Time after which half of the targets suffice, of any service and zone, since
/// the others may be gone for all instances.
constexpr Duration kMaxCompleteWait = 10s;
/// Time in which the share of direct requests rises to all.
constexpr Duration kRampTime = 3s;
/// Share of direct requests at the start of the rise.
constexpr double kFirstShare = 0.1;

} // namespace

TargetReachability::TargetReachability(uint64_t aSeed)
  : mRandom(aSeed)
{
}

void TargetReachability::Put(const TargetName& aName,
                             const ServiceName& aService,
                             const ZoneName& aZone)
{
  const auto [it, isNew] = mTargets.try_emplace(aName);
  auto& target = it->second;
  if (isNew) {
    // Instances test targets in different orders.
    target.mLastProbeAt = TimePoint{} - FromSeconds(mRandom.Uniform());
  }
  target.mService = aService;
  target.mZone = aZone;
}

void TargetReachability::Remove(const TargetName& aName)
{
  mTargets.erase(aName);
}

template<typename Predicate>
TargetReachability::Spread TargetReachability::Count(Predicate aPredicate) const
{
  Spread out;
  std::set<ServiceName> services;
  std::set<ZoneName> zones;
  for (const auto& [name, target] : mTargets) {
    if (aPredicate(target)) {
      ++out.mTargets;
      services.insert(target.mService);
      zones.insert(target.mZone);
    }
  }
  out.mServices = services.size();
  out.mZones = zones.size();
  return out;
}

bool TargetReachability::Covers(const Spread& aSeen,
                                const Spread& aAll,
                                size_t aMinTargets)
{
  return aSeen.mTargets >= std::min(aMinTargets, aAll.mTargets) &&
         aSeen.mServices >= std::min(kMinGroups, aAll.mServices) &&
         aSeen.mZones >= std::min(kMinGroups, aAll.mZones);
}

bool TargetReachability::IsProbeInProgress(const Target& aTarget,
                                           TimePoint aNow)
{
  return aTarget.mProbedAt && aNow - *aTarget.mProbedAt < kMaxProbeTime;
}

bool TargetReachability::IsRecentFailure(const Target& aTarget,
                                         TimePoint aNow) const
{
  return aTarget.mFailedAt && aNow - *aTarget.mFailedAt < kFailureTtl &&
         (!mOtherConnectedAt || *aTarget.mFailedAt >= *mOtherConnectedAt);
}

bool TargetReachability::IsDoubtful(TimePoint aNow) const
{
  return aNow < mDoubtUntil ||
         (mSilentSince && aNow - *mSilentSince >= kMaxSilence);
}

bool TargetReachability::IsReturning(TimePoint aNow) const
{
  return mReturnedAt && aNow - *mReturnedAt < kRampTime;
}

bool TargetReachability::MayBeCutOff(TimePoint aNow) const
{
  return mIsolated || IsDoubtful(aNow) || IsReturning(aNow);
}

bool TargetReachability::HasAnsweredSince(const TargetName& aName,
                                          TimePoint aTime) const
{
  const auto it = mTargets.find(aName);
  return it != mTargets.end() && it->second.mAnsweredAt >= aTime;
}

bool TargetReachability::IsIsolated(TimePoint) const
{
  return mIsolated;
}

void TargetReachability::OnAttempt(const TargetName& aName, TimePoint aNow)
{
  if (!mSilentSince && mTargets.contains(aName)) {
    mSilentSince = aNow;
  }
}

void TargetReachability::OnAnswer(const TargetName& aName, TimePoint aNow)
{
  const auto it = mTargets.find(aName);
  if (it != mTargets.end()) {
    it->second.mReachedAt = aNow;
    it->second.mAnsweredAt = aNow;
    mSilentSince.reset();
  }
}

void TargetReachability::OnExchangeLost(const TargetName& aName, TimePoint aNow)
{
  if (mTargets.contains(aName)) {
    mDoubtUntil = aNow + kDoubtTime;
  }
}

void TargetReachability::OnConnected(const TargetName& aName, TimePoint aNow)
{
  const auto it = mTargets.find(aName);
  if (it == mTargets.end()) {
    return;
  }
  auto& target = it->second;
  target.mReachedAt = aNow;
  target.mFailedAt.reset();
  target.mProbedAt.reset();
  mSilentSince.reset();
  if (mIsolated) {
    target.mIsBack = true;
    if (!mBackSince) {
      mBackSince = aNow;
    }
    if (ArePathsBack(aNow)) {
      EndIsolation(aNow);
    }
    return;
  }
  if (aName != mLastConnectedTarget) {
    mOtherConnectedAt = mLastConnectedAt;
    mLastConnectedTarget = aName;
  }
  mLastConnectedAt = aNow;
  const bool isProof = mTargets.size() < kMinFailedTargets ||
                       (mDoubtSince && mOtherConnectedAt >= mDoubtSince);
  if (isProof) {
    mDoubtSince.reset();
    mDoubtUntil = aNow;
  }
}

void TargetReachability::OnConnectFailed(const TargetName& aName,
                                         TimePoint aNow)
{
  const auto it = mTargets.find(aName);
  if (it == mTargets.end()) {
    return;
  }
  auto& target = it->second;
  target.mFailedAt = aNow;
  target.mProbedAt.reset();
  if (mIsolated) {
    // A target that was not back may be gone by itself.
    if (target.mIsBack) {
      for (auto& [name, other] : mTargets) {
        other.mIsBack = false;
      }
      mBackSince.reset();
    }
    return;
  }
  if (!mDoubtSince) {
    mDoubtSince = aNow;
  }
  mDoubtUntil = aNow + kDoubtTime;
  const auto failed =
    Count([&](const Target& aIt) { return IsRecentFailure(aIt, aNow); });
  const auto all = Count([](const Target&) { return true; });
  const auto answering = Count([&](const Target& aIt) {
    return !aIt.mFailedAt && aIt.mReachedAt >= mDoubtSince;
  });
  const size_t minTargets =
    kMinTargets * (answering.mTargets > 1 ? kAnsweringFactor : 1);
  if (aNow - *mDoubtSince >= kMinDoubtTime &&
      failed.mTargets >= kMinFailedTargets && Covers(failed, all, minTargets)) {
    Isolate(aNow, failed);
  }
}

void TargetReachability::Isolate(TimePoint aNow, const Spread& aFailed)
{
  const bool isFlapping =
    mReturnedAt && aNow - *mReturnedAt < kFlapMemory + ReturnDelay();
  mFlaps = isFlapping ? std::min(mFlaps + 1, kMaxFlaps) : 0;
  mEvidence = { .mFailedTargets = aFailed.mTargets,
                .mFailedServices = aFailed.mServices,
                .mFailedZones = aFailed.mZones,
                .mSinceConnected = mLastConnectedAt ? aNow - *mLastConnectedAt
                                                    : Duration::zero() };
  mIsolated = true;
  mIsolatedAt = aNow;
  mBackSince.reset();
  mReturnedAt.reset();
  for (auto& [name, target] : mTargets) {
    target.mIsBack = false;
    target.mWasReachable =
      target.mReachedAt && aNow - *target.mReachedAt < kReachableTtl;
  }
  if (mOnChanged) {
    mOnChanged();
  }
}

Duration TargetReachability::ReturnDelay() const
{
  return std::min(kMinReturnDelay * (1 << mFlaps), kMaxReturnDelay);
}

bool TargetReachability::ArePathsBack(TimePoint aNow) const
{
  const Duration backFor = aNow - *mBackSince;
  if (backFor < ReturnDelay()) {
    return false;
  }
  auto expected = Count([](const Target& aIt) { return aIt.mWasReachable; });
  if (expected.mTargets < kMinFailedTargets) {
    expected = Count([](const Target&) { return true; });
  }
  const auto back = Count([](const Target& aIt) { return aIt.mIsBack; });
  if (backFor >= kMaxCompleteWait) {
    return back.mTargets * 2 >= expected.mTargets;
  }
  const auto failed = Count([&](const Target& aIt) {
    return aIt.mWasReachable && aIt.mFailedAt && *aIt.mFailedAt >= *mBackSince;
  });
  return Covers(back, expected, kMinBackTargets) &&
         failed.mTargets * 2 <= back.mTargets;
}

void TargetReachability::EndIsolation(TimePoint aNow)
{
  const auto back = Count([](const Target& aIt) { return aIt.mIsBack; });
  mEvidence.mConnectedTargets = back.mTargets;
  mEvidence.mIsolatedFor = aNow - mIsolatedAt;
  mIsolated = false;
  mReturnedAt = aNow;
  mLastConnectedAt = aNow;
  mOtherConnectedAt = aNow;
  mDoubtSince.reset();
  mDoubtUntil = aNow;
  mAnnouncedFrom =
    aNow + FromSeconds(ToSeconds(kRampTime) * (0.5 + 0.5 * mRandom.Uniform()));
  if (mOnChanged) {
    mOnChanged();
  }
}

bool TargetReachability::UseDirectPath(TimePoint aNow)
{
  if (mIsolated) {
    return false;
  }
  if (!IsReturning(aNow)) {
    return true;
  }
  const double passed = ToSeconds(aNow - *mReturnedAt) / ToSeconds(kRampTime);
  return mRandom.Chance(std::max(kFirstShare, passed));
}

bool TargetReachability::ReachesTargets(TimePoint aNow) const
{
  return !mIsolated && aNow >= mAnnouncedFrom;
}

std::optional<TargetName> TargetReachability::NextProbe(TimePoint aNow)
{
  const bool isDoubtful = !mIsolated && IsDoubtful(aNow);
  if (!isDoubtful) {
    mDoubtSince.reset();
  } else if (!mDoubtSince) {
    mDoubtSince = aNow;
  }
  const bool isIdle = !mIsolated && !isDoubtful;
  if (isIdle && mLastConnectedAt &&
      aNow - *mLastConnectedAt < kIdleProbeInterval) {
    return std::nullopt;
  }
  // While in doubt the first tests start together, so that they also end
  // together.
  if (!isDoubtful && aNow < mProbeDueAt) {
    return std::nullopt;
  }
  const bool isFirst = isDoubtful && aNow - *mDoubtSince < kFirstProbesTime;
  const size_t maxProbes = isIdle ? 1 : isFirst ? kMaxFirstProbes : kMaxProbes;
  const auto inProgress =
    Count([&](const Target& aIt) { return IsProbeInProgress(aIt, aNow); });
  if (inProgress.mTargets >= maxProbes) {
    return std::nullopt;
  }
  const auto out = ChooseProbe(aNow);
  if (!out) {
    return std::nullopt;
  }
  auto& target = mTargets[*out];
  target.mProbedAt = aNow;
  target.mLastProbeAt = aNow;
  mProbeDueAt = aNow + (isIdle ? kIdleProbeInterval : kProbeInterval);
  return out;
}

std::optional<TargetName> TargetReachability::ChooseProbe(TimePoint aNow) const
{
  std::set<ServiceName> services;
  std::set<ZoneName> zones;
  const auto isTested = [&](const Target& aTarget) {
    return IsProbeInProgress(aTarget, aNow) ||
           (mIsolated ? aTarget.mIsBack : IsRecentFailure(aTarget, aNow));
  };
  for (const auto& [name, target] : mTargets) {
    if (isTested(target)) {
      services.insert(target.mService);
      zones.insert(target.mZone);
    }
  }
  // Targets without a recent failure come first, of other zones than those
  // tested, then those that were reached lately, since the others may be gone
  // by themselves, and those of other services; among these the longest
  // untested.
  const auto rank = [&](const Target& aTarget) {
    const bool hasFailed =
      aTarget.mFailedAt && aNow - *aTarget.mFailedAt < kFailureTtl;
    const bool isStale =
      !aTarget.mReachedAt || aNow - *aTarget.mReachedAt >= kReachableTtl;
    const int group = (hasFailed || isTested(aTarget) ? 8 : 0) +
                      (zones.contains(aTarget.mZone) ? 4 : 0) +
                      (isStale ? 2 : 0) +
                      (services.contains(aTarget.mService) ? 1 : 0);
    return std::pair(group, aTarget.mLastProbeAt);
  };
  const std::pair<const TargetName, Target>* best = nullptr;
  for (const auto& it : mTargets) {
    if (IsProbeInProgress(it.second, aNow) ||
        aNow - it.second.mLastProbeAt < kTargetProbeInterval) {
      continue;
    }
    if (!best || rank(it.second) < rank(best->second)) {
      best = &it;
    }
  }
  return best ? std::optional(best->first) : std::nullopt;
}

} // namespace pollenway
