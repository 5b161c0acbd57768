#include "RemoteZones.h"

#include "CrashCount.h"
#include "CrashLedger.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Maximum time between two digests of a zone if at most one in a row is lost.
constexpr Duration kMaxDigestGap = std::chrono::milliseconds(1250);

} // namespace

RemoteZones::RemoteZones(InstanceName aSelf,
                         uint64_t aIncarnation,
                         ZoneName aZone)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mZone(std::move(aZone))
{
}

std::vector<AdmittedIncrease> RemoteZones::OnDigest(const FleetDigest& aDigest,
                                                    TimePoint aNow)
{
  if (aDigest.mSender == mSelf) {
    return {};
  }
  const bool isOwnZone = aDigest.mSenderZone == mZone;
  if (aDigest.mScope == DigestScope::Zone && !isOwnZone) {
    return OnZoneDigest(aDigest, aNow);
  }
  if (aDigest.mScope == DigestScope::OtherZones && isOwnZone) {
    return OnOtherZonesDigest(aDigest, aNow);
  }
  return {};
}

std::vector<AdmittedIncrease> RemoteZones::OnZoneDigest(
  const FleetDigest& aDigest,
  TimePoint aNow)
{
  auto& zone = mZones[aDigest.mSenderZone];
  zone.mLastDigestAt = aNow;
  if (aDigest.mHasStatus) {
    UpdatePositions(aDigest);
    zone.mCrashCounts = aDigest.mCrashCounts;
    for (const auto& it : aDigest.mZones) {
      if (it.mZone == aDigest.mSenderZone) {
        UpdateStatus(it, aNow);
      }
    }
  }
  const FollowedTotals::Report report{ aDigest.mSender,
                                       aDigest.mIncarnation,
                                       aDigest.mSequence };
  for (const auto& it : zone.mTotals.Update(report, aDigest.mUses, aNow)) {
    mAdmitted[it.mWorkspace] += it.mCount;
  }
  // An instance that misses a zone's digests knows less than the delegates, and
  // must not be followed in their place.
  if (!ReceivesAllZones(aNow)) {
    return {};
  }
  std::vector<WorkspaceUse> sums;
  for (const auto& it : aDigest.mUses) {
    sums.push_back(
      { it.mWorkspace, SumDemand(it.mWorkspace), mAdmitted[it.mWorkspace] });
  }
  return mTotals.Update({ mSelf, mIncarnation, ++mOwnSequence }, sums, aNow);
}

std::vector<AdmittedIncrease> RemoteZones::OnOtherZonesDigest(
  const FleetDigest& aDigest,
  TimePoint aNow)
{
  if (aDigest.mHasStatus) {
    UpdatePositions(aDigest);
    mSummedCrashes = { aDigest.mCrashCounts, aNow };
    for (const auto& it : aDigest.mZones) {
      if (it.mZone != mZone) {
        UpdateStatus(it, aNow);
      }
    }
  }
  return mTotals.Update(
    { aDigest.mSender, aDigest.mIncarnation, aDigest.mSequence },
    aDigest.mUses,
    aNow);
}

void RemoteZones::UpdateStatus(const ZoneStatus& aStatus, TimePoint aNow)
{
  auto& zone = mZones[aStatus.mZone];
  const TimePoint asOf = aNow - aStatus.mAge;
  if (asOf < zone.mAsOf) {
    return;
  }
  ZoneStatus status = aStatus;
  if (status.mDelegates.empty()) {
    status.mDelegates = std::move(zone.mStatus.mDelegates);
    status.mCallerEndpoints = std::move(zone.mStatus.mCallerEndpoints);
  }
  zone.mStatus = std::move(status);
  zone.mAsOf = asOf;
}

void RemoteZones::UpdatePositions(const FleetDigest& aDigest)
{
  mConfigurationPosition =
    std::max(mConfigurationPosition, aDigest.mConfigurationPosition);
  mTargetPosition = std::max(mTargetPosition, aDigest.mTargetPosition);
  mEvacuationPosition =
    std::max(mEvacuationPosition, aDigest.mEvacuationPosition);
}

bool RemoteZones::ReceivesAllZones(TimePoint aNow) const
{
  return std::all_of(mZones.begin(), mZones.end(), [&](const auto& aEntry) {
    const auto& zone = aEntry.second;
    return aNow - zone.mAsOf > kMaxDigestGap ||
           aNow - zone.mLastDigestAt <= kMaxDigestGap;
  });
}

double RemoteZones::SumDemand(const WorkspaceName& aWorkspace) const
{
  double out = 0;
  for (const auto& [name, zone] : mZones) {
    out += zone.mTotals.Demand(aWorkspace);
  }
  return out;
}

FleetDigest RemoteZones::MakeOtherZonesDigest(bool aHasLists, TimePoint aNow)
{
  FleetDigest out;
  out.mScope = DigestScope::OtherZones;
  out.mConfigurationPosition = mConfigurationPosition;
  out.mTargetPosition = mTargetPosition;
  out.mEvacuationPosition = mEvacuationPosition;
  for (const auto& [name, zone] : mZones) {
    if (aNow - zone.mAsOf < kRetention) {
      out.mZones.push_back(zone.mStatus);
      out.mZones.back().mAge = aNow - zone.mAsOf;
      if (!aHasLists) {
        out.mZones.back().mDelegates.clear();
        out.mZones.back().mCallerEndpoints.clear();
      }
    }
  }
  out.mCrashCounts = CrashCounts(aNow);
  std::vector<WorkspaceUse> uses;
  for (const auto& [workspace, admitted] : mAdmitted) {
    uses.push_back({ workspace, SumDemand(workspace), admitted });
  }
  out.mUses = mSelection.Select(uses);
  return out;
}

double RemoteZones::Demand(const WorkspaceName& aWorkspace) const
{
  return mTotals.Demand(aWorkspace);
}

size_t RemoteZones::CountKnown(TimePoint aNow) const
{
  size_t out = 0;
  for (const auto& [name, zone] : mZones) {
    out += aNow - zone.mAsOf < kRetention ? zone.mStatus.mKnown : 0;
  }
  return out;
}

size_t RemoteZones::CountReachable(TimePoint aNow) const
{
  size_t out = 0;
  for (const auto& [name, zone] : mZones) {
    out += aNow - zone.mAsOf <= kFreshAge ? zone.mStatus.mReachable : 0;
  }
  return out;
}

Duration RemoteZones::MeanAge(TimePoint aNow) const
{
  Duration sum{};
  int64_t known = 0;
  for (const auto& [name, zone] : mZones) {
    if (aNow - zone.mAsOf < kRetention) {
      sum += (aNow - zone.mAsOf) * int64_t(zone.mStatus.mKnown);
      known += zone.mStatus.mKnown;
    }
  }
  return known > 0 ? sum / known : Duration::zero();
}

std::vector<const ZoneStatus*> RemoteZones::LiveZones(TimePoint aNow) const
{
  std::vector<const ZoneStatus*> out;
  for (const auto& [name, zone] : mZones) {
    if (aNow - zone.mAsOf < kSilenceTimeout && zone.mStatus.mReachable > 0) {
      out.push_back(&zone.mStatus);
    }
  }
  return out;
}

bool RemoteZones::IsAnyZoneLost(TimePoint aNow) const
{
  return std::any_of(mZones.begin(), mZones.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second.mAsOf >= kRetention;
  });
}

std::vector<IpEndpoint> RemoteZones::DelegateEndpoints() const
{
  std::vector<IpEndpoint> out;
  for (const auto& [name, zone] : mZones) {
    for (const auto& it : zone.mStatus.mDelegates) {
      out.push_back(it.mPeer);
    }
  }
  return out;
}

std::optional<Duration> RemoteZones::AgeOf(const ZoneName& aZone,
                                           TimePoint aNow) const
{
  const auto it = mZones.find(aZone);
  if (it == mZones.end()) {
    return std::nullopt;
  }
  return aNow - it->second.mAsOf;
}

std::vector<CrashCount> RemoteZones::CrashCounts(TimePoint aNow) const
{
  if (!ReceivesAllZones(aNow)) {
    return aNow - mSummedCrashes.mReceivedAt < CrashLedger::kEntryTtl
             ? mSummedCrashes.mCounts
             : std::vector<CrashCount>();
  }
  std::vector<CrashCount> out;
  for (const auto& [name, zone] : mZones) {
    if (aNow - zone.mLastDigestAt < CrashLedger::kEntryTtl) {
      out = SumCrashCounts(std::move(out), zone.mCrashCounts);
    }
  }
  return out;
}

} // namespace pollenway
