#include "FollowedTotals.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

/// Time after which a silent source is forgotten.
constexpr Duration kSourceRetention = std::chrono::seconds(60);
/// Interval between the reports of a source.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// Weight of a new report in the averages of offsets and rates.
constexpr double kAverageWeight = 0.25;
/// Maximum silence for which increases are estimated.
constexpr double kMaxEstimatedSeconds = 5;

} // namespace

bool FollowedTotals::ShouldFollow(const InstanceName& aName,
                                  TimePoint aNow) const
{
  const auto& candidate = mSources.at(aName);
  const auto followed = mSources.find(mFollowed);
  if (followed != mSources.end() && !IsSilent(followed->second, aNow)) {
    return candidate.mReportsAhead >= kMaxReportsAhead;
  }
  // The source that has been known for longest has the most complete totals.
  for (const auto& [name, source] : mSources) {
    if (!IsSilent(source, aNow) &&
        source.mFirstReportAt < candidate.mFirstReportAt) {
      return false;
    }
  }
  return true;
}

AdmittedIncrease FollowedTotals::CountTotal(const WorkspaceName& aWorkspace,
                                            const Total& aTotal,
                                            TimePoint aNow)
{
  auto [entry, isNew] = mCounts.try_emplace(aWorkspace);
  auto& count = entry->second;
  const int64_t admitted = aTotal.mAdmitted + std::llround(aTotal.mOffset);
  const int64_t increase = admitted - count.mAdmitted;
  if (!isNew && aNow > count.mReportedAt) {
    const double rate = double(increase) / ToSeconds(aNow - count.mReportedAt);
    count.mRate += kAverageWeight * (rate - count.mRate);
  }
  count.mAdmitted = admitted;
  count.mDemand = aTotal.mDemand;
  count.mReportedAt = aNow;
  return { aWorkspace, increase };
}

void FollowedTotals::UpdateOffsets(const WorkspaceName& aWorkspace)
{
  const auto count = mCounts.find(aWorkspace);
  if (count == mCounts.end()) {
    return;
  }
  for (auto& [name, source] : mSources) {
    const auto it = source.mTotals.find(aWorkspace);
    if (name != mFollowed && it != source.mTotals.end()) {
      auto& total = it->second;
      const double offset = double(count->second.mAdmitted - total.mAdmitted);
      total.mOffset += kAverageWeight * (offset - total.mOffset);
    }
  }
}

double FollowedTotals::InitialOffset(const WorkspaceUse& aUse,
                                     bool aHasStartedAtZero,
                                     TimePoint aNow) const
{
  const auto it = mCounts.find(aUse.mWorkspace);
  if (it == mCounts.end()) {
    return aHasStartedAtZero ? 0 : -double(aUse.mAdmitted);
  }
  const auto& count = it->second;
  const double silence =
    std::min(kMaxEstimatedSeconds, ToSeconds(aNow - count.mReportedAt));
  const double growth =
    count.mDemand > 0 ? std::max(1.0, aUse.mDemand / count.mDemand) : 1;
  const double estimate = aNow - mFollowedReportAt > kSourceTimeout
                            ? count.mRate * growth * silence
                            : 0;
  return double(count.mAdmitted) + estimate - double(aUse.mAdmitted);
}

std::vector<AdmittedIncrease> FollowedTotals::Update(
  const Report& aReport,
  const std::vector<WorkspaceUse>& aUses,
  TimePoint aNow)
{
  std::erase_if(mSources, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastReportAt > kSourceRetention;
  });
  auto [entry, isNewSource] = mSources.try_emplace(aReport.mSource);
  auto& source = entry->second;
  if (!isNewSource && (aReport.mIncarnation < source.mIncarnation ||
                       (aReport.mIncarnation == source.mIncarnation &&
                        aReport.mSequence < source.mSequence))) {
    return {};
  }
  if (isNewSource || source.mIncarnation != aReport.mIncarnation) {
    // The totals of a new incarnation start again.
    source = {};
    source.mIncarnation = aReport.mIncarnation;
    source.mFirstReportAt = aNow;
    if (mFollowed == aReport.mSource) {
      mFollowed = {};
    }
  }
  source.mReportsAhead += source.mSequence != aReport.mSequence ? 1 : 0;
  source.mSequence = aReport.mSequence;
  source.mLastReportAt = aNow;
  std::vector<AdmittedIncrease> out;
  const auto count = [&](const WorkspaceName& aWorkspace, const Total& aTotal) {
    const auto increase = CountTotal(aWorkspace, aTotal, aNow);
    if (increase.mCount != 0) {
      out.push_back(increase);
    }
    UpdateOffsets(aWorkspace);
  };
  if (ShouldFollow(aReport.mSource, aNow)) {
    mFollowed = aReport.mSource;
    for (auto& [workspace, total] : source.mTotals) {
      total.mOffset = std::round(total.mOffset);
      count(workspace, total);
    }
  }
  const bool isFollowed = mFollowed == aReport.mSource;
  const bool isComplete = aNow - source.mFirstReportAt >= kFullReportInterval;
  const bool isSideBySide = aNow - mFollowedReportAt <= kReportInterval;
  for (const auto& it : aUses) {
    auto [known, isNew] = source.mTotals.try_emplace(it.mWorkspace);
    auto& total = known->second;
    if (isNew) {
      total.mOffset = std::round(InitialOffset(it, isComplete, aNow));
    }
    total.mDemand = it.mDemand;
    total.mAdmitted = it.mAdmitted;
    if (isFollowed) {
      count(it.mWorkspace, total);
    } else if (isSideBySide) {
      UpdateOffsets(it.mWorkspace);
    }
  }
  if (isFollowed) {
    mFollowedReportAt = aNow;
    for (auto& [name, other] : mSources) {
      other.mReportsAhead = 0;
    }
  }
  return out;
}

double FollowedTotals::Demand(const WorkspaceName& aWorkspace) const
{
  const auto source = mSources.find(mFollowed);
  if (source == mSources.end()) {
    return 0;
  }
  const auto it = source->second.mTotals.find(aWorkspace);
  return it == source->second.mTotals.end() ? 0 : it->second.mDemand;
}

} // namespace pollenway
