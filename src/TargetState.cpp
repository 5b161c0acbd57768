#include "TargetState.h"

#include "HashOf.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// A load report is ignored after this time: most requests that it counted have
/// ended by then.
constexpr Duration kLoadReportTtl = 1s;
/// Pause after the first failure; doubled by each further one up to
/// `kMaxPause`.
constexpr Duration kInitialPause = 250ms;
constexpr Duration kMaxPause = 2s;
/// Weight of a new sample in the smoothed run time and in the share of shed
/// requests.
constexpr double kSampleWeight = 0.15;
/// Time constant of the decay of the share of shed requests: the time in which
/// it falls to about a third.
constexpr double kShedDecaySeconds = 2.0;

} // namespace

TargetState::TargetState(RegisteredTarget aRecord, RegionName aRegion)
  : mRecord(std::move(aRecord))
  , mRegion(std::move(aRegion))
  , mNameHash(HashOf({ mRecord.mName.Text() }))
{
}

void TargetState::Update(RegisteredTarget aRecord,
                         TimePoint aNow,
                         Duration aColdStart)
{
  if (aRecord.mColdRemaining > Duration::zero()) {
    // The record may be older than the change event that carries it.
    const Duration remaining = aColdStart > Duration::zero()
                                 ? std::min(aRecord.mColdRemaining, aColdStart)
                                 : aRecord.mColdRemaining;
    mColdUntil = std::max(mColdUntil, aNow + remaining);
  }
  mRecord = std::move(aRecord);
}

void TargetState::OnLoad(const TargetLoad& aLoad, TimePoint aNow)
{
  mLoad = aLoad;
  mLoadAt = aNow;
  mInFlightAtLoad = mInFlight;
}

void TargetState::OnAnswer(Duration aLatency,
                           double aLoadWhenSent,
                           TimePoint aNow)
{
  mFailures = 0;
  mPausedUntil = {};
  mShedShare = ShedShare(aNow) * (1 - kSampleWeight);
  mShedAt = aNow;
  // With more requests than slots, a request waits until those before it have
  // run, in rounds of one request per slot. Each round takes about one run
  // time.
  const double rounds =
    std::max(1.0, aLoadWhenSent / std::max(1U, mRecord.mSlots));
  const double sample =
    std::max(0.0, ToSeconds(aLatency - mRoundTrip)) / rounds;
  mRunTime = mRunTime ? FromSeconds(ToSeconds(*mRunTime) * (1 - kSampleWeight) +
                                    sample * kSampleWeight)
                      : FromSeconds(sample);
}

void TargetState::OnShed(TimePoint aNow)
{
  mShedShare = ShedShare(aNow) * (1 - kSampleWeight) + kSampleWeight;
  mShedAt = aNow;
}

void TargetState::OnFailure(TimePoint aNow)
{
  const Duration pause =
    std::min(kInitialPause * (1 << std::min(mFailures, 4U)), kMaxPause);
  ++mFailures;
  mPausedUntil = aNow + pause;
}

double TargetState::EstimatedLoad(TimePoint aNow) const
{
  if (!mLoad || aNow - mLoadAt > kLoadReportTtl) {
    return mInFlight;
  }
  const double change = double(mInFlight) - double(mInFlightAtLoad);
  return std::max(double(mInFlight), double(mLoad->Total()) + change);
}

double TargetState::ShedShare(TimePoint aNow) const
{
  return mShedShare *
         std::exp(-ToSeconds(aNow - mShedAt) / (kShedDecaySeconds));
}

} // namespace pollenway
