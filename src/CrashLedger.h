#pragma once

#include "CrashCount.h"
#include "Ids.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// Counts across all instances how often the connection to a target was lost
/// while it ran a request, and identifies the requests to refuse because they
/// crash their targets. An answer clears a request's count at the instance that
/// received the answer.
class CrashLedger
{
public:
  /// Number of connection losses at which a request is refused. Fewer can be
  /// chance: a lost answer looks the same as a crash.
  static constexpr unsigned kRefusalThreshold = 3;
  /// A request's count is discarded after this time without another connection
  /// loss.
  static constexpr Duration kEntryTtl = std::chrono::seconds(60);

  bool IsRefused(RequestFingerprint aRequest) const;
  /// Called when the connection to the target was lost while it ran the
  /// request.
  void OnConnectionLost(RequestFingerprint aRequest, TimePoint aNow);
  void OnAnswer(RequestFingerprint aRequest);
  /// Discards this instance's counts of requests whose last connection loss was
  /// at `aTime` or later. Called when it turns out that the paths to all
  /// targets were lost, which is no fault of the requests.
  void DiscardSince(TimePoint aTime);
  /// Replaces the counts that another instance of the zone reported before.
  /// They expire like own counts if it sends no further report.
  void OnReport(const InstanceName& aInstance,
                const std::vector<CrashCount>& aCounts,
                TimePoint aNow);
  /// Replaces the sums of the counts of other zones.
  void SetOtherZones(std::vector<CrashCount> aCounts)
  {
    mOtherZones = std::move(aCounts);
  }
  /// Returns the sums of this instance's counts and those of the others of its
  /// zone.
  std::vector<CrashCount> SumOfZone(TimePoint aNow);
  /// Returns this instance's counts for the next report, those with the latest
  /// connection losses first. Discards expired counts.
  std::vector<CrashCount> Report(TimePoint aNow);

private:
  struct OwnCount
  {
    unsigned mCount = 0;
    TimePoint mLastLossAt{};
  };

  struct PeerReport
  {
    std::vector<CrashCount> mCounts;
    TimePoint mReceivedAt{};
  };

  std::map<RequestFingerprint, OwnCount> mOwnCounts;
  std::map<InstanceName, PeerReport> mReports;
  std::vector<CrashCount> mOtherZones;
};

} // namespace pollenway
