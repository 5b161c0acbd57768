#pragma once

#include "Ids.h"
#include "RegisteredTarget.h"
#include "TargetLoad.h"
#include "Time.h"

#include <optional>

namespace pollenway {

/// A target as this instance knows it: its record and what its answers showed.
class TargetState
{
public:
  TargetState(RegisteredTarget aRecord, RegionName aRegion);

  const RegisteredTarget& Record() const { return mRecord; }
  const RegionName& Region() const { return mRegion; }
  /// Takes a newer record of the same run.
  void Update(RegisteredTarget aRecord, TimePoint aNow, Duration aColdStart);

  void OnSent() { ++mInFlight; }
  void OnEnded() { --mInFlight; }
  unsigned InFlight() const { return mInFlight; }
  void OnLoad(const TargetLoad& aLoad, TimePoint aNow);
  /// An answer to a request arrived `aLatency` after it was sent.
  void OnAnswer(Duration aLatency, TimePoint aNow);
  /// It turned a request away without running it.
  void OnShed(TimePoint aNow);
  /// A connection to it failed, or was lost before the answer.
  void OnFailure(TimePoint aNow);
  /// It says that it is cold until `aUntil`.
  void SetCold(TimePoint aUntil) { mColdUntil = aUntil; }

  /// Requests that it holds now, as far as this instance can tell.
  double EstimatedLoad(TimePoint aNow) const;
  bool IsPaused(TimePoint aNow) const { return aNow < mPausedUntil; }
  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }
  TimePoint ColdUntil() const { return mColdUntil; }
  unsigned ConsecutiveFailures() const { return mFailures; }
  /// Share of recent requests that it turned away.
  double ShedShare(TimePoint aNow) const;
  /// Smoothed latency of its answers; empty before the first one.
  std::optional<Duration> Latency() const { return mLatency; }

private:
  RegisteredTarget mRecord;
  RegionName mRegion;
  unsigned mInFlight = 0;
  unsigned mFailures = 0;
  std::optional<TargetLoad> mLoad;
  TimePoint mLoadAt{};
  unsigned mInFlightAtLoad = 0;
  std::optional<Duration> mLatency;
  double mShedShare = 0;
  TimePoint mShedAt{};
  TimePoint mPausedUntil{};
  TimePoint mColdUntil{};
};

} // namespace pollenway
