#pragma once

#include "Ids.h"
#include "RegisteredTarget.h"
#include "TargetLoad.h"
#include "Time.h"

#include <optional>

namespace pollenway {

/// State of a target as known to this instance: its record and the observations
/// from its answers.
class TargetState
{
public:
  TargetState(RegisteredTarget aRecord, RegionName aRegion);

  const RegisteredTarget& Record() const { return mRecord; }
  const RegionName& Region() const { return mRegion; }
  /// Applies a newer record of the same incarnation.
  void Update(RegisteredTarget aRecord, TimePoint aNow, Duration aColdStart);

  void OnSent() { ++mInFlight; }
  void OnEnded() { --mInFlight; }
  unsigned InFlight() const { return mInFlight; }
  void OnLoad(const TargetLoad& aLoad, TimePoint aNow);
  /// Called when an answer arrived `aLatency` after its request was sent.
  /// `aLoadWhenSent` is the number of requests that the target had at the time
  /// of sending.
  void OnAnswer(Duration aLatency, double aLoadWhenSent, TimePoint aNow);
  /// Called when a connection to the target was opened; `aRoundTrip` is the
  /// time that this took.
  void OnConnected(Duration aRoundTrip) { mRoundTrip = aRoundTrip; }
  /// Called when the target shed a request without running it.
  void OnShed(TimePoint aNow);
  /// Called when a connection to the target failed or was lost before the
  /// answer.
  void OnFailure(TimePoint aNow);
  /// Called when the target reported that it is cold until `aUntil`.
  void SetCold(TimePoint aUntil) { mColdUntil = aUntil; }

  /// Returns the estimated number of requests at the target, running and
  /// waiting.
  double EstimatedLoad(TimePoint aNow) const;
  bool IsPaused(TimePoint aNow) const { return aNow < mPausedUntil; }
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }
  TimePoint ColdUntil() const { return mColdUntil; }
  unsigned ConsecutiveFailures() const { return mFailures; }
  /// Returns the share of recent requests that the target shed.
  double ShedShare(TimePoint aNow) const;
  /// Returns the smoothed run time of a request in a slot, without the time
  /// spent waiting for a slot; empty before the first answer.
  std::optional<Duration> RunTime() const { return mRunTime; }
  Duration RoundTrip() const { return mRoundTrip; }
  /// Returns the hash of the name, for ranking.
  uint64_t NameHash() const { return mNameHash; }

private:
  RegisteredTarget mRecord;
  RegionName mRegion;
  unsigned mInFlight = 0;
  unsigned mFailures = 0;
  std::optional<TargetLoad> mLoad;
  TimePoint mLoadAt{};
  unsigned mInFlightAtLoad = 0;
  uint64_t mNameHash;
  std::optional<Duration> mRunTime;
  Duration mRoundTrip{};
  double mShedShare = 0;
  TimePoint mShedAt{};
  TimePoint mPausedUntil{};
  TimePoint mColdUntil{};
};

} // namespace pollenway
