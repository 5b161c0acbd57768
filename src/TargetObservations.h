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

/// Result of a request at a target, as observed by the receiving instance.
enum class RequestEnd
{
  Ok,
  Failed,        ///< Error, cut answer or timeout.
  Shed,          ///< The target or its slot owner refused it as not run.
  ConnectFailed, ///< No connection to the target.
  Cancelled,     ///< The caller disconnected; not evidence about the target.
};

/// Settings of `TargetObservations`.
struct ObservationOptions
{
  /// Time over which a cold target's share of the load rises to its full share.
  Duration mSlowStart = std::chrono::seconds(20);
  /// Fraction of its slots with which a cold target starts; 1 disables slow
  /// start.
  double mColdShare = 0.1;
  /// Maximum fraction of a service's targets that may be ejected at once. If
  /// there are at least two, one may always be ejected.
  double mMaxEjectedFraction = 0.3;
  /// Duration of the first ejection; doubled by each further one up to
  /// `mMaxEjectionTime`.
  Duration mInitialEjectionTime = std::chrono::seconds(5);
  Duration mMaxEjectionTime = std::chrono::seconds(80);
  unsigned mConsecutiveFailures = 5;
  unsigned mConsecutiveConnectFailures = 2;
  /// Fraction of failed recent requests above which a target is ejected.
  double mFailedShare = 0.5;
  /// Multiple of the median latency of the service's other targets above which
  /// a target is ejected.
  double mSlowFactor = 5;
  /// Minimum number of requests before the failed share or the latency is
  /// considered.
  unsigned mMinSamples = 20;
  /// Maximum half-life of the weight of a load summary. The half-life is at
  /// most the latency of two requests, since the requests that the summary
  /// counted have ended by then. Without this decay, all instances would send
  /// to the target that looked idle until the next summary.
  Duration mLoadHalfLife = std::chrono::seconds(1);
  /// Half-life of the weight of the average of the summaries, which replaces
  /// the last summary as that ages.
  Duration mMeanHalfLife = std::chrono::seconds(10);
  /// A health report older than this is ignored.
  Duration mReportTtl = std::chrono::seconds(10);
  /// Time for which a target counts as full after it shed a request.
  Duration mShedPause = std::chrono::milliseconds(100);
};

/// State of one service's targets as known to one instance: the declared state,
/// reports and load summaries (hints), and the instance's own observations,
/// which override hints other than a reported drain. A reported drain is always
/// obeyed, because a leaving backend server must receive no new requests (I8).
class TargetObservations
{
public:
  TargetObservations(ZoneName aOwnZone,
                     RegionName aOwnRegion,
                     ObservationOptions aOptions = {});

  /// Replaces the declared targets. Targets that are new or live again go
  /// through slow start, except at the first call, when this instance knows no
  /// targets.
  void SetTargets(const std::vector<SelectableTarget>& aTargets,
                  TimePoint aNow);

  void OnStart(const TargetName& aTarget);
  /// `aLatency` is used for `Ok` only.
  void OnEnd(const TargetName& aTarget,
             RequestEnd aEnd,
             Duration aLatency,
             TimePoint aNow);
  /// Called when a crash of the target was observed. Ejects the target and then
  /// applies slow start.
  void OnCrash(const TargetName& aTarget, TimePoint aNow);
  void OnLoadSummary(const TargetName& aTarget, const LoadSummary& aSummary);
  void OnHealthReport(const TargetName& aTarget,
                      const HealthReport& aReport,
                      TimePoint aNow);

  /// Returns all targets with the reason for or against each, in the declared
  /// order.
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
    /// Requests of other instances according to the last summary, and their
    /// moving average.
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
