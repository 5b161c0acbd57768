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
  /// Length of the quarantine after the second crash. A crash after its end
  /// doubles it, up to the longest.
  Duration mInitialQuarantineTime = std::chrono::seconds(60);
  Duration mMaxQuarantineTime = std::chrono::minutes(16);
  /// A suspect that neither completed nor crashed again is forgotten after
  /// this time.
  Duration mSuspectTtl = std::chrono::minutes(10);
  /// Suspects kept at most. The oldest not in quarantine is dropped first.
  size_t mMaxSuspects = 4096;
};

/// Finds requests that crash the backend servers that run them, from the sets
/// of requests in flight at each crash. One object for each instance; reports
/// are announced to all, so that all come to the same result.
///
/// Each request in flight at a crash becomes a suspect. A suspect runs at most
/// once at a time, through one instance, and no two suspects run on one target
/// at once, so that a second crash has at most one suspect in flight, which is
/// quarantined. Its earlier crashes no longer count against others, which
/// releases one that was quarantined for them; the others at the last crash
/// become suspects. A suspect that completes is cleared.
class CrashQuarantine
{
public:
  enum class Verdict
  {
    Free,
    Suspect,     ///< Runs only through the instance that rendezvous selects.
    Quarantined, ///< Refused as not run.
  };

  explicit CrashQuarantine(CrashQuarantineOptions aOptions = {});

  Verdict Check(RequestFingerprint aRequest, TimePoint aNow);

  /// When the quarantine ends, for `Retry-After`.
  std::optional<TimePoint> QuarantinedUntil(RequestFingerprint aRequest) const;

  /// At the selected instance: starts a suspect's run on a target. False if it
  /// already runs, is quarantined, or another suspect was started on the target
  /// from here; the request then waits or is refused as not run.
  bool TryStartSuspect(RequestFingerprint aRequest,
                       const TargetName& aTarget,
                       TimePoint aNow);

  /// At the target's slot owner: whether one of the requests in flight at the
  /// target is a suspect, so that no further suspect may start there. The
  /// suspects' selected instances differ and don't know of each other.
  bool HasSuspect(const std::vector<RequestFingerprint>& aInFlight) const;

  /// The request ended without a crash of its target. True if it was a suspect
  /// and `OnCleared` must be announced to peers.
  bool OnCompleted(RequestFingerprint aRequest);

  /// The run that `TryStartSuspect` began ended with nothing learnt, for
  /// instance because it was never sent or because it timed out.
  void OnSuspectRunEnded(RequestFingerprint aRequest);

  /// A peer's announcement that the request completed.
  void OnCleared(RequestFingerprint aRequest);

  /// A crash, own or announced. Repeated reports are ignored.
  void OnCrash(const CrashReport& aReport, TimePoint aNow);

  size_t Suspects() const { return mSuspects.size(); }
  size_t Quarantined(TimePoint aNow) const;

private:
  struct Suspect
  {
    /// Crashes that the request was in flight at and that nothing explains.
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
  /// Requests in flight at each crash that still counts against one of them.
  std::map<CrashId, std::set<RequestFingerprint>> mCrashes;
  /// Reports seen, with their time, to ignore repeats.
  std::map<CrashId, TimePoint> mSeenCrashes;
  TimePoint mNextExpiry{};
};

} // namespace pollenway
