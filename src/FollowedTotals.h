#pragma once

#include "Ids.h"
#include "Time.h"
#include "WorkspaceUse.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenway {

/// Requests of a workspace that other instances have admitted since the last
/// report; negative if some of them were not run.
struct AdmittedIncrease
{
  WorkspaceName mWorkspace;
  int64_t mCount = 0;

  bool operator==(const AdmittedIncrease&) const = default;
};

/// Turns the totals that several sources report about the same instances into
/// increases, each of which is counted once. The sources have counted since
/// different times, so their totals differ by constant offsets, which are
/// estimated while the sources report side by side. The increases are those of
/// one source at a time, the followed one. When it goes silent or restarts,
/// another one is followed. If that has not been heard before, the increase
/// during the silence is estimated from the rate before and the growth of the
/// demand.
class FollowedTotals
{
public:
  struct Report
  {
    InstanceName mSource;
    uint64_t mIncarnation = 0;
    /// A report with a lower number than the last one is ignored. Parts of one
    /// report have the same number.
    uint64_t mSequence = 0;
  };

  /// Time without a report after which another source is followed: one and a
  /// half intervals. Until then, increases are not counted. It is also followed
  /// when it has reported this many times since the followed one last did.
  static constexpr Duration kSourceTimeout = std::chrono::milliseconds(750);
  static constexpr unsigned kMaxReportsAhead = 3;
  /// Every source reports all totals at least once in this time, and otherwise
  /// those that change. A total that appears later than this after the source
  /// itself did started at zero.
  static constexpr Duration kFullReportInterval = std::chrono::seconds(10);

  /// Returns the increases that have not been counted yet.
  std::vector<AdmittedIncrease> Update(const Report& aReport,
                                       const std::vector<WorkspaceUse>& aUses,
                                       TimePoint aNow);
  /// Returns the demand that the followed source has reported.
  double Demand(const WorkspaceName& aWorkspace) const;

private:
  /// What is counted of a workspace, over all sources that were followed.
  struct Count
  {
    int64_t mAdmitted = 0;
    /// Admissions per second, averaged over some reports.
    double mRate = 0;
    double mDemand = 0;
    TimePoint mReportedAt{};
  };
  struct Total
  {
    double mDemand = 0;
    int64_t mAdmitted = 0;
    /// Difference between what is counted and this total.
    double mOffset = 0;
  };
  struct Source
  {
    uint64_t mIncarnation = 0;
    uint64_t mSequence = 0;
    /// Number of reports since the followed source last reported.
    unsigned mReportsAhead = 0;
    TimePoint mFirstReportAt{};
    TimePoint mLastReportAt{};
    std::map<WorkspaceName, Total> mTotals;
  };

  bool IsSilent(const Source& aSource, TimePoint aNow) const
  {
    return aNow - aSource.mLastReportAt > kSourceTimeout;
  }
  bool ShouldFollow(const InstanceName& aName, TimePoint aNow) const;
  /// Counts the total of the followed source.
  AdmittedIncrease CountTotal(const WorkspaceName& aWorkspace,
                              const Total& aTotal,
                              TimePoint aNow);
  void UpdateOffsets(const WorkspaceName& aWorkspace);
  double InitialOffset(const WorkspaceUse& aUse,
                       bool aHasStartedAtZero,
                       TimePoint aNow) const;

  std::map<InstanceName, Source> mSources;
  std::map<WorkspaceName, Count> mCounts;
  /// Empty if no source is followed.
  InstanceName mFollowed;
  TimePoint mFollowedReportAt{};
};

} // namespace pollenway
