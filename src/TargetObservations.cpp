#include "TargetObservations.h"

#include "Assert.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

// Weight of one request in the moving averages.
constexpr double kSampleWeight = 0.1;
// Weight of one load summary in the moving average of load summaries.
constexpr double kSummaryWeight = 0.1;
// Number of consecutive successful requests that reset the ejection time to the
// initial one.
constexpr unsigned kSuccessesToResetEjections = 50;

} // namespace

std::string_view Name(TargetReason aReason)
{
  switch (aReason) {
    case TargetReason::Usable:
      return "usable";
    case TargetReason::NoRoom:
      return "no-room";
    case TargetReason::ReportedUnhealthy:
      return "reported-unhealthy";
    case TargetReason::Ejected:
      return "ejected";
    case TargetReason::Excluded:
      return "excluded";
    case TargetReason::ReportedDraining:
      return "reported-draining";
    case TargetReason::NotLive:
      break;
  }
  return "not-live";
}

TargetObservations::TargetObservations(ZoneName aOwnZone,
                                       RegionName aOwnRegion,
                                       ObservationOptions aOptions)
  : mOwnZone(std::move(aOwnZone))
  , mOwnRegion(std::move(aOwnRegion))
  , mOptions(aOptions)
{
}

TargetObservations::State* TargetObservations::Find(const TargetName& aTarget)
{
  auto it = mIndex.find(aTarget);
  return it == mIndex.end() ? nullptr : &mStates[it->second];
}

void TargetObservations::SetTargets(
  const std::vector<SelectableTarget>& aTargets,
  TimePoint aNow)
{
  const bool isFirstUpdate = mStates.empty();
  std::vector<State> states;
  states.reserve(aTargets.size());
  for (const auto& it : aTargets) {
    State state;
    const State* known = Find(it.mName);
    if (known) {
      state = *known;
    }
    const bool wasLive = known && known->mTarget.mState == Lifecycle::Live;
    if (!isFirstUpdate && !wasLive && it.mState == Lifecycle::Live) {
      state.mSlowStartAt = aNow;
    }
    state.mTarget = it;
    states.push_back(std::move(state));
  }
  mStates = std::move(states);
  mIndex.clear();
  for (size_t i = 0; i < mStates.size(); ++i) {
    mIndex[mStates[i].mTarget.mName] = i;
  }
}

void TargetObservations::OnStart(const TargetName& aTarget)
{
  if (auto* state = Find(aTarget)) {
    ++state->mOutstanding;
  }
}

void TargetObservations::OnEnd(const TargetName& aTarget,
                               RequestEnd aEnd,
                               Duration aLatency,
                               TimePoint aNow)
{
  auto* state = Find(aTarget);
  if (!state) {
    return;
  }
  // The count of a target that was withdrawn and declared again starts at 0.
  state->mOutstanding -= std::min(state->mOutstanding, 1u);
  const auto addSample = [&](bool aFailed) {
    state->mFailedShare +=
      kSampleWeight * ((aFailed ? 1.0 : 0.0) - state->mFailedShare);
    ++state->mSamples;
  };
  switch (aEnd) {
    case RequestEnd::Ok: {
      const double ms = ToSeconds(aLatency) * 1e3;
      state->mLatencyMs =
        state->mLatencyMs == 0
          ? ms
          : state->mLatencyMs + kSampleWeight * (ms - state->mLatencyMs);
      addSample(false);
      state->mConsecutiveFailures = 0;
      state->mConsecutiveConnectFailures = 0;
      state->mLastOkAt = aNow;
      if (++state->mConsecutiveOks >= kSuccessesToResetEjections) {
        state->mEjections = 0;
      }
      break;
    }
    case RequestEnd::Failed:
    case RequestEnd::ConnectFailed:
      addSample(true);
      state->mConsecutiveOks = 0;
      ++state->mConsecutiveFailures;
      if (aEnd == RequestEnd::ConnectFailed) {
        ++state->mConsecutiveConnectFailures;
      }
      break;
    case RequestEnd::Shed:
      state->mShedAt = aNow;
      return;
    case RequestEnd::Cancelled:
      return;
  }
  if (IsOutlier(*state)) {
    Eject(*state, aNow);
  }
}

bool TargetObservations::IsOutlier(const State& aState) const
{
  if (aState.mConsecutiveFailures >= mOptions.mConsecutiveFailures ||
      aState.mConsecutiveConnectFailures >=
        mOptions.mConsecutiveConnectFailures) {
    return true;
  }
  if (aState.mSamples < mOptions.mMinSamples) {
    return false;
  }
  if (aState.mFailedShare > mOptions.mFailedShare) {
    return true;
  }
  // The network latency to a distant target is no fault of the target.
  const auto serviceLatency = [](const State& aMeasured) {
    return std::max(0.0,
                    aMeasured.mLatencyMs - 2 * aMeasured.mTarget.mLatencyMs);
  };
  std::vector<double> otherLatencies;
  for (const auto& it : mStates) {
    if (&it != &aState && it.mSamples >= mOptions.mMinSamples) {
      otherLatencies.push_back(serviceLatency(it));
    }
  }
  if (otherLatencies.size() < 2) {
    return false;
  }
  auto median = otherLatencies.begin() + ptrdiff_t(otherLatencies.size() / 2);
  std::nth_element(otherLatencies.begin(), median, otherLatencies.end());
  return serviceLatency(aState) > mOptions.mSlowFactor * *median;
}

void TargetObservations::Eject(State& aState, TimePoint aNow)
{
  if (aState.mEjectedUntil && *aState.mEjectedUntil > aNow) {
    return;
  }
  unsigned live = 0;
  for (const auto& it : mStates) {
    live += it.mTarget.mState == Lifecycle::Live ? 1 : 0;
  }
  const auto maxEjected =
    live < 2
      ? 0u
      : std::max(1u, unsigned(std::floor(mOptions.mMaxEjectedFraction * live)));
  if (Ejected(aNow) >= maxEjected) {
    return;
  }
  const Duration duration = std::min(
    mOptions.mMaxEjectionTime,
    mOptions.mInitialEjectionTime * (1u << std::min(aState.mEjections, 10u)));
  ++aState.mEjections;
  aState.mEjectedUntil = aNow + duration;
  aState.mSlowStartAt = *aState.mEjectedUntil;
  aState.mConsecutiveFailures = 0;
  aState.mConsecutiveConnectFailures = 0;
  aState.mSamples = 0;
  aState.mFailedShare = 0;
  aState.mLatencyMs = 0;
  POLLENWAY_ASSERT(Ejected(aNow) <= maxEjected,
                   "more targets ejected than allowed");
}

void TargetObservations::OnCrash(const TargetName& aTarget, TimePoint aNow)
{
  if (auto* state = Find(aTarget)) {
    // The slow start applies even if the limit on ejections keeps the target
    // in use.
    state->mSlowStartAt = aNow;
    Eject(*state, aNow);
  }
}

void TargetObservations::OnLoadSummary(const TargetName& aTarget,
                                       const LoadSummary& aSummary)
{
  auto* state = Find(aTarget);
  if (state && (!state->mSummary ||
                state->mSummary->mCountedAt <= aSummary.mCountedAt)) {
    // The summary includes this instance's outstanding requests.
    state->mOtherLoad =
      std::max(0.0, aSummary.mLoad - double(state->mOutstanding));
    state->mMeanOtherLoad =
      state->mSummary
        ? state->mMeanOtherLoad +
            kSummaryWeight * (state->mOtherLoad - state->mMeanOtherLoad)
        : state->mOtherLoad;
    state->mSummary = aSummary;
  }
}

void TargetObservations::OnHealthReport(const TargetName& aTarget,
                                        const HealthReport& aReport,
                                        TimePoint aNow)
{
  auto* state = Find(aTarget);
  if (!state) {
    return;
  }
  const bool wasDraining = state->mReport && state->mReport->mDraining;
  if (wasDraining && aReport.mAnswered && !aReport.mDraining) {
    state->mSlowStartAt = aNow;
  }
  // A failed probe doesn't cancel an earlier drain report.
  const bool draining = aReport.mAnswered ? aReport.mDraining : wasDraining;
  state->mReport =
    HealthReport{ .mAnswered = aReport.mAnswered, .mDraining = draining };
  state->mReportAt = aNow;
}

double TargetObservations::WarmUpFraction(const State& aState,
                                          TimePoint aNow) const
{
  if (!aState.mSlowStartAt) {
    return 1;
  }
  const double elapsedFraction =
    ToSeconds(aNow - *aState.mSlowStartAt) / ToSeconds(mOptions.mSlowStart);
  return std::clamp(mOptions.mColdShare +
                      elapsedFraction * (1 - mOptions.mColdShare),
                    mOptions.mColdShare,
                    1.0);
}

double TargetObservations::LoadOf(const State& aState, TimePoint aNow) const
{
  const double ownLoad = aState.mOutstanding;
  if (!aState.mSummary) {
    return ownLoad;
  }
  const double age =
    std::max(0.0, ToSeconds(aNow - aState.mSummary->mCountedAt));
  const double halfLife =
    aState.mLatencyMs > 0
      ? std::min(ToSeconds(mOptions.mLoadHalfLife), aState.mLatencyMs * 2e-3)
      : ToSeconds(mOptions.mLoadHalfLife);
  const double weight = std::exp2(-age / halfLife);
  const double meanWeight = std::exp2(-age / ToSeconds(mOptions.mMeanHalfLife));
  return ownLoad + weight * aState.mOtherLoad +
         (1 - weight) * meanWeight * aState.mMeanOtherLoad;
}

TargetReason TargetObservations::ReasonOf(const State& aState,
                                          double aRelativeLoad,
                                          TimePoint aNow) const
{
  if (aState.mTarget.mState != Lifecycle::Live) {
    return TargetReason::NotLive;
  }
  const bool hasCurrentReport =
    aState.mReport && aNow - aState.mReportAt <= mOptions.mReportTtl;
  if (hasCurrentReport && aState.mReport->mDraining) {
    return TargetReason::ReportedDraining;
  }
  if (aState.mEjectedUntil && *aState.mEjectedUntil > aNow) {
    return TargetReason::Ejected;
  }
  const bool succeededRecently =
    aState.mLastOkAt && aState.mConsecutiveFailures == 0 &&
    aNow - *aState.mLastOkAt <= mOptions.mReportTtl;
  if (hasCurrentReport && !aState.mReport->mAnswered && !succeededRecently) {
    return TargetReason::ReportedUnhealthy;
  }
  if (aRelativeLoad >= 1 ||
      (aState.mShedAt && aNow - *aState.mShedAt < mOptions.mShedPause)) {
    return TargetReason::NoRoom;
  }
  return TargetReason::Usable;
}

std::vector<TargetAssessment> TargetObservations::Assess(
  std::span<const TargetName> aExcluded,
  TimePoint aNow) const
{
  std::vector<TargetAssessment> out;
  out.reserve(mStates.size());
  for (const auto& it : mStates) {
    TargetAssessment assessment;
    assessment.mName = it.mTarget.mName;
    if (it.mTarget.mZone == mOwnZone) {
      assessment.mTier = 0;
    } else if (it.mTarget.mRegion == mOwnRegion) {
      assessment.mTier = 1;
    } else {
      assessment.mTier = 2 + it.mTarget.mLatencyMs;
    }
    assessment.mWarmUpFraction = WarmUpFraction(it, aNow);
    const double capacity =
      std::max(1.0, double(it.mTarget.mSlots) * assessment.mWarmUpFraction);
    assessment.mRelativeLoad = LoadOf(it, aNow) / capacity;
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), assessment.mName) !=
      aExcluded.end();
    assessment.mReason = excluded
                           ? TargetReason::Excluded
                           : ReasonOf(it, assessment.mRelativeLoad, aNow);
    out.push_back(std::move(assessment));
  }
  return out;
}

unsigned TargetObservations::Outstanding(const TargetName& aTarget) const
{
  auto it = mIndex.find(aTarget);
  return it == mIndex.end() ? 0 : mStates[it->second].mOutstanding;
}

unsigned TargetObservations::Ejected(TimePoint aNow) const
{
  unsigned n = 0;
  for (const auto& it : mStates) {
    n += it.mEjectedUntil && *it.mEjectedUntil > aNow ? 1 : 0;
  }
  return n;
}

} // namespace pollenway
