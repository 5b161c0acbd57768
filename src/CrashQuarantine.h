#pragma once

#include "CrashReport.h"
#include "Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenway {

/// Settings of `CrashQuarantine`.
struct CrashQuarantineOptions
{
  /// Duration of the quarantine after the second crash. Each crash after its
  /// end doubles it, up to `mMaxQuarantineTime`.
  Duration mInitialQuarantineTime = std::chrono::seconds(60);
  Duration mMaxQuarantineTime = std::chrono::minutes(16);
  /// A suspect that neither completed nor crashed again is removed after this
  /// time.
  Duration mSuspectTtl = std::chrono::minutes(10);
  /// Maximum number of suspects. The oldest one without a quarantine is evicted
  /// first.
  size_t mMaxSuspects = 4096;
};

/// Identifies requests that crash the backend servers that run them, from the
/// sets of requests in flight at each crash. Each instance has one object.
/// Crash reports are announced to all instances, so that all reach the same
/// result.
///
/// Each request in flight at a crash becomes a suspect. A suspect runs at most
/// once at a time, through one instance, and no two suspects run on one target
/// at once. A second crash therefore has at most one suspect in flight, which
/// is quarantined. Its earlier crashes then no longer count against other
/// requests, and a request that was quarantined because of them is released.
/// The other requests in flight at the last crash become suspects. A suspect
/// that completes is cleared.
class CrashQuarantine
{
public:
  enum class Verdict
  {
    Free,
    Suspect, ///< Runs only through the instance selected by rendezvous hashing.
    Quarantined, ///< Refused as not run.
  };

  explicit CrashQuarantine(CrashQuarantineOptions aOptions = {});

  Verdict Check(RequestFingerprint aRequest, TimePoint aNow);

  /// Returns the end of the quarantine, for `Retry-After`; nothing if the
  /// request was not quarantined.
  std::optional<TimePoint> QuarantinedUntil(RequestFingerprint aRequest) const;

  /// Starts a suspect's run on a target; called at the selected instance.
  /// Returns false if the request is not a suspect, is quarantined or already
  /// runs, or if this instance runs another suspect on the target. The request
  /// must then wait or be refused as not run.
  bool TryStartSuspect(RequestFingerprint aRequest,
                       const TargetName& aTarget,
                       TimePoint aNow);

  /// Returns true if one of the requests in flight at a target is a suspect;
  /// called at the target's slot owner, which then starts no further suspect
  /// there. The suspects are run by different instances, which don't know of
  /// each other's runs.
  bool HasSuspect(const std::vector<RequestFingerprint>& aInFlight) const;

  /// Called when the request ended without a crash of its target. Returns true
  /// if it was a suspect, so that its clearing must be announced to peers.
  bool OnCompleted(RequestFingerprint aRequest);

  /// Called when the run that `TryStartSuspect` started ended without a
  /// conclusion, for instance because the request was never sent or timed out.
  void OnSuspectRunEnded(RequestFingerprint aRequest);

  /// Called when a peer announced that the request completed.
  void OnCleared(RequestFingerprint aRequest);

  /// Called when this instance observed a crash or a peer announced one.
  /// Repeated reports are ignored.
  void OnCrash(const CrashReport& aReport, TimePoint aNow);

  size_t Suspects() const { return mSuspects.size(); }
  size_t Quarantined(TimePoint aNow) const;

private:
  struct Suspect
  {
    /// Crashes at which the request was in flight and that are not attributed
    /// to another request.
    std::set<CrashId> mCrashes;
    std::optional<TimePoint> mQuarantinedUntil;
    unsigned mQuarantineCount = 0;
    std::optional<TargetName> mRunningOn;
    TimePoint mLastEventAt{};
  };

  void RemoveSuspect(RequestFingerprint aRequest);
  void QuarantineRequests(const std::set<RequestFingerprint>& aRequests,
                          const CrashId& aLast,
                          TimePoint aNow);
  void RemoveCrash(RequestFingerprint aRequest, const CrashId& aCrash);
  void Expire(TimePoint aNow);

  CrashQuarantineOptions mOptions;
  std::map<RequestFingerprint, Suspect> mSuspects;
  /// For each crash, the requests in flight that it still counts against.
  std::map<CrashId, std::set<RequestFingerprint>> mCrashes;
  /// Crashes reported so far with the time of the report, to ignore repeats.
  std::map<CrashId, TimePoint> mSeenCrashes;
  TimePoint mNextExpiry{};
};

} // namespace pollenway
