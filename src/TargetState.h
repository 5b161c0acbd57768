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
  /// An answer arrived `aLatency` after its request was sent, when the target
  /// held `aLoadWhenSent` requests.
  void OnAnswer(Duration aLatency, double aLoadWhenSent, TimePoint aNow);
  /// A connection to it was made in this time.
  void OnConnected(Duration aRoundTrip) { mRoundTrip = aRoundTrip; }
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
  /// Smoothed time from a slot's start on a request to its answer, without
  /// waiting for a slot; empty before the first answer.
  std::optional<Duration> RunTime() const { return mRunTime; }
  Duration RoundTrip() const { return mRoundTrip; }
  /// Hash of the name, for ranking.
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
