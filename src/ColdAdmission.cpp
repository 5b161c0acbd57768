#include "ColdAdmission.h"

#include "HashOf.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Maximum number of instances that share a cold target's rate. With few of
/// them, no share is a small fraction of a request, and differences between the
/// instances' views add little to the target's load.
constexpr size_t kMaxSharers = 4;
/// Fraction of the tolerated rate that is used. The margin covers the time in
/// which the instances' views of the membership differ. A target that receives
/// well above its rate crashes.
constexpr double kUsedRateFraction = 0.8;

} // namespace

ColdAdmission::ColdAdmission(InstanceName aSelf,
                             ZoneName aZone,
                             RegionName aRegion)
  : mSelf{ std::move(aSelf), std::move(aZone), std::move(aRegion), true }
  , mMembers{ mSelf }
{
}

void ColdAdmission::SetInstances(const InstanceTable& aInstances,
                                 const std::vector<ZoneDelegate>& aDelegates,
                                 const RemoteZones& aRemoteZones,
                                 TimePoint aNow)
{
  const auto isDelegate = [&](const InstanceName& aName) {
    return std::any_of(aDelegates.begin(),
                       aDelegates.end(),
                       [&](const auto& aIt) { return aIt.mName == aName; });
  };
  mSelf.mIsDelegate = isDelegate(mSelf.mName);
  mMembers = { mSelf };
  for (const auto* it : aInstances.Live(aNow)) {
    const auto& summary = it->mSummary;
    mMembers.push_back({ summary.mName,
                         summary.mZone,
                         summary.mRegion,
                         isDelegate(summary.mName) });
  }
  for (const auto* zone : aRemoteZones.LiveZones(aNow)) {
    for (const auto& it : zone->mDelegates) {
      mMembers.push_back({ it.mName, zone->mZone, zone->mRegion, true });
    }
  }
}

size_t ColdAdmission::SharerCount(const TargetState& aTarget) const
{
  const auto& zone = aTarget.Record().mZone;
  const auto& region = aTarget.Region();
  const auto distance = [&](const Member& aMember) {
    return aMember.mZone == zone ? 0 : aMember.mRegion == region ? 1 : 2;
  };
  int nearest = 2;
  for (const auto& it : mMembers) {
    nearest = std::min(nearest, distance(it));
  }
  std::vector<std::pair<uint64_t, const Member*>> ranked;
  for (const auto& it : mMembers) {
    if (distance(it) == nearest && (nearest == 0 || it.mIsDelegate)) {
      ranked.emplace_back(
        HashOf({ it.mName.Text(), aTarget.Record().mName.Text() }), &it);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const size_t n = std::min(kMaxSharers, ranked.size());
  for (size_t k = 0; k < n; ++k) {
    if (ranked[k].second->mName == mSelf.mName) {
      return n;
    }
  }
  return 0;
}

bool ColdAdmission::TryAdmit(const TargetState& aTarget,
                             double aRate,
                             TimePoint aNow)
{
  if (aRate <= 0) {
    return true;
  }
  const size_t sharers = SharerCount(aTarget);
  if (sharers == 0) {
    return false;
  }
  auto [it, isNew] = mBuckets.try_emplace(aTarget.Record().mName);
  auto& bucket = it->second;
  const double rate = aRate * kUsedRateFraction / double(sharers);
  // The bucket holds the tokens of a quarter of a second, so that a burst stays
  // far below one second's rate.
  const double depth = std::max(1.0, rate / 4);
  bucket.mTokens =
    isNew
      ? 1.0
      : std::min(depth,
                 bucket.mTokens + rate * ToSeconds(aNow - bucket.mRefilledAt));
  bucket.mRefilledAt = aNow;
  if (bucket.mTokens < 1) {
    return false;
  }
  bucket.mTokens -= 1;
  return true;
}

} // namespace pollenway
