#pragma once

#include "Random.h"
#include "ResultCode.h"
#include "SelectableTarget.h"
#include "TargetAssessment.h"
#include "TargetReports.h"
#include "Time.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// How a request at a target ended, as the receiving instance saw it.
enum class RequestEnd
{
  Ok,
  Failed,        ///< Error, cut answer or timeout.
  Shed,          ///< The target or its slot owner refused it as not run.
  ConnectFailed, ///< No connection to the target.
  Cancelled,     ///< The caller left; says nothing about the target.
};

/// Settings of `TargetObservations`.
struct ObservationOptions
{
  /// A cold target is brought to its full share over this time.
  Duration mSlowStart = std::chrono::seconds(20);
  /// Part of its slots with which a cold target begins; 1 turns slow start off.
  double mColdShare = 0.1;
  /// Largest part of a service's targets that may be ejected at once. One of at
  /// least two always may.
  double mMaxEjectedFraction = 0.3;
  /// Length of the first ejection; doubled by each further one.
  Duration mInitialEjectionTime = std::chrono::seconds(5);
  Duration mMaxEjectionTime = std::chrono::seconds(80);
  unsigned mConsecutiveFailures = 5;
  unsigned mConsecutiveConnectFailures = 2;
  /// Failed part of recent requests above which a target is ejected.
  double mFailedShare = 0.5;
  /// Times the median latency of the service's targets above which a target
  /// is ejected.
  double mSlowFactor = 5;
  /// Requests needed before failed share or latency count.
  unsigned mMinSamples = 20;
  /// A load summary of this age counts half, or earlier: after the latency of
  /// two requests the requests that it counted have ended. Without this all
  /// instances send to the target that looked idle until the next summary.
  Duration mLoadHalfLife = std::chrono::seconds(1);
  /// The mean of the summaries takes the place of the last one as that ages,
  /// and counts half at this age.
  Duration mMeanHalfLife = std::chrono::seconds(10);
  /// A health report older than this does not count.
  Duration mReportTtl = std::chrono::seconds(10);
  /// A shed answer counts as "full" for this long.
  Duration mShedPause = std::chrono::milliseconds(100);
};

/// What one instance knows of one service's targets: declared state, reports
/// and load summaries (hints) and its own observations, which override hints
/// other than a reported drain. A reported drain is always obeyed, because a
/// leaving backend server must get no new work (I8).
class TargetObservations
{
public:
  TargetObservations(ZoneName aOwnZone,
                     RegionName aOwnRegion,
                     ObservationOptions aOptions = {});

  /// Replaces the declared targets. Those that are new or live again start
  /// slowly, except at the first call, when this instance knows none.
  void SetTargets(const std::vector<SelectableTarget>& aTargets,
                  TimePoint aNow);

  void OnStart(const TargetName& aTarget);
  /// `aLatency` counts for `Ok` only.
  void OnEnd(const TargetName& aTarget,
             RequestEnd aEnd,
             Duration aLatency,
             TimePoint aNow);
  /// The target was seen to crash: it is ejected and then starts slowly.
  void OnCrash(const TargetName& aTarget, TimePoint aNow);
  void OnLoadSummary(const TargetName& aTarget, const LoadSummary& aSummary);
  void OnHealthReport(const TargetName& aTarget,
                      const HealthReport& aReport,
                      TimePoint aNow);

  /// All targets with the reason for or against each, in the declared order.
  std::vector<TargetAssessment> Assess(std::span<const TargetName> aExcluded,
                                       TimePoint aNow) const;

  unsigned Outstanding(const TargetName& aTarget) const;
  unsigned Ejected(TimePoint aNow) const;

private:
  struct State
  {
    SelectableTarget mTarget;
    unsigned mOutstanding = 0;
    std::optional<LoadSummary> mSummary;
    /// Others' requests by the last summary, and their running mean.
    double mOtherLoad = 0;
    double mMeanOtherLoad = 0;
    std::optional<HealthReport> mReport;
    TimePoint mReportAt{};
    std::optional<TimePoint> mLastOkAt;
    std::optional<TimePoint> mShedAt;
    unsigned mConsecutiveFailures = 0;
    unsigned mConsecutiveConnectFailures = 0;
    unsigned mConsecutiveOks = 0;
    unsigned mSamples = 0;
    double mFailedShare = 0;
    double mLatencyMs = 0;
    std::optional<TimePoint> mEjectedUntil;
    unsigned mEjections = 0;
    std::optional<TimePoint> mSlowStartAt;
  };

  State* Find(const TargetName& aTarget);
  bool IsOutlier(const State& aState) const;
  void Eject(State& aState, TimePoint aNow);
  double WarmUpFraction(const State& aState, TimePoint aNow) const;
  double LoadOf(const State& aState, TimePoint aNow) const;
  TargetReason ReasonOf(const State& aState,
                        double aRelativeLoad,
                        TimePoint aNow) const;

  ZoneName mOwnZone;
  RegionName mOwnRegion;
  ObservationOptions mOptions;
  std::vector<State> mStates;
  std::unordered_map<TargetName, size_t> mIndex;
};

} // namespace pollenway
