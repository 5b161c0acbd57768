#pragma once

#include "Ids.h"
#include "Random.h"
#include "Time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace pollenway {

/// Decides from the outcomes of connection attempts and exchanges whether this
/// instance has lost its paths to all targets.
///
/// Only new connections count as proof, in either direction: an open connection
/// may still work while new ones are refused. The instance is isolated when new
/// connections to several targets have failed, of more than one service and
/// zone if there are more, and at most one target could be connected to
/// meanwhile. Targets to test are proposed while there is doubt, while the
/// instance is isolated, and rarely at other times.
class TargetReachability
{
public:
  /// The observations that decided the last change.
  struct Evidence
  {
    /// Targets whose last connection attempts failed, and their services and
    /// zones.
    size_t mFailedTargets = 0;
    size_t mFailedServices = 0;
    size_t mFailedZones = 0;
    /// Targets to which connections were established since the isolation began.
    size_t mConnectedTargets = 0;
    /// Time since the last new connection before the isolation; zero if there
    /// was none.
    Duration mSinceConnected{};
    /// For the end of an isolation: how long it lasted.
    Duration mIsolatedFor{};
  };

  explicit TargetReachability(uint64_t aSeed);

  /// Adds a target, or updates its service and zone. Outcomes at targets that
  /// were not added are ignored.
  void Put(const TargetName& aName,
           const ServiceName& aService,
           const ZoneName& aZone);
  /// Called when a target leaves the table.
  void Remove(const TargetName& aName);

  /// Called when a request is about to be sent to a target.
  void OnAttempt(const TargetName& aName, TimePoint aNow);
  /// Called when a new connection to a target was established.
  void OnConnected(const TargetName& aName, TimePoint aNow);
  /// Called when a new connection to a target failed: it was refused, timed out
  /// or found no route.
  void OnConnectFailed(const TargetName& aName, TimePoint aNow);
  /// Called when a target answered on an open connection.
  void OnAnswer(const TargetName& aName, TimePoint aNow);
  /// Called when an open connection was lost, or an exchange timed out, without
  /// a byte of the answer.
  void OnExchangeLost(const TargetName& aName, TimePoint aNow);

  /// Returns true while new connections to targets fail everywhere, and until
  /// the paths have been back for some time.
  bool IsIsolated(TimePoint aNow) const;
  /// Returns true if the paths may be lost: while that is being tested or the
  /// instance is isolated, and for some time after.
  bool MayBeCutOff(TimePoint aNow) const;
  /// Returns true if the target has answered on an open connection at `aTime`
  /// or later.
  bool HasAnsweredSince(const TargetName& aName, TimePoint aTime) const;
  /// Returns true if this request should be sent to targets directly. Never
  /// while isolated; after that for a share of requests that rises gradually.
  bool UseDirectPath(TimePoint aNow);
  /// Returns true if other instances and look-ups should count on this
  /// instance's paths. After an isolation this follows with a delay that
  /// differs by instance, so that callers don't return all at once.
  bool ReachesTargets(TimePoint aNow) const;
  /// Returns the next target to test with a connection attempt, if one is due.
  /// The outcome must be reported. Several tests may be in progress.
  std::optional<TargetName> NextProbe(TimePoint aNow);

  const Evidence& LastEvidence() const { return mEvidence; }
  /// Sets the callback that is called when the instance has become isolated or
  /// has its paths back.
  void OnChanged(std::function<void()> aCallback)
  {
    mOnChanged = std::move(aCallback);
  }

private:
  struct Target
  {
    ServiceName mService;
    ZoneName mZone;
    /// Time of the last new connection or answer.
    std::optional<TimePoint> mReachedAt;
    /// Time of the last answer.
    std::optional<TimePoint> mAnsweredAt;
    /// Time of the last failed connection attempt, if none succeeded since.
    std::optional<TimePoint> mFailedAt;
    /// Time at which a test was proposed whose outcome is not known.
    std::optional<TimePoint> mProbedAt;
    TimePoint mLastProbeAt{};
    /// True if it was reached shortly before the isolation began.
    bool mWasReachable = false;
    /// True if connections have been established since `mBackSince`.
    bool mIsBack = false;
  };
  /// Number of distinct targets, services and zones.
  struct Spread
  {
    size_t mTargets = 0;
    size_t mServices = 0;
    size_t mZones = 0;
  };

  template<typename Predicate>
  Spread Count(Predicate aPredicate) const;
  /// Returns true if the targets in `aSeen` are `aMinTargets` or all, of enough
  /// services and zones.
  static bool Covers(const Spread& aSeen,
                     const Spread& aAll,
                     size_t aMinTargets);
  static bool IsProbeInProgress(const Target& aTarget, TimePoint aNow);
  bool IsRecentFailure(const Target& aTarget, TimePoint aNow) const;
  bool IsDoubtful(TimePoint aNow) const;
  /// Returns true while the share of direct requests rises.
  bool IsReturning(TimePoint aNow) const;
  void Isolate(TimePoint aNow, const Spread& aFailed);
  bool ArePathsBack(TimePoint aNow) const;
  void EndIsolation(TimePoint aNow);
  std::optional<TargetName> ChooseProbe(TimePoint aNow) const;
  Duration ReturnDelay() const;

  Random mRandom;
  std::map<TargetName, Target> mTargets;
  /// The target of the last new connection, and the time of the last one to any
  /// other target.
  TargetName mLastConnectedTarget;
  std::optional<TimePoint> mLastConnectedAt;
  std::optional<TimePoint> mOtherConnectedAt;
  /// Time of the first attempt after the last sign from any target.
  std::optional<TimePoint> mSilentSince;
  std::optional<TimePoint> mDoubtSince;
  TimePoint mDoubtUntil{};
  TimePoint mProbeDueAt{};
  bool mIsolated = false;
  TimePoint mIsolatedAt{};
  /// Time since which no target has failed that had been back.
  std::optional<TimePoint> mBackSince;
  std::optional<TimePoint> mReturnedAt;
  TimePoint mAnnouncedFrom{};
  /// Number of isolations that followed each other closely.
  unsigned mFlaps = 0;
  Evidence mEvidence;
  std::function<void()> mOnChanged;
};

} // namespace pollenway
