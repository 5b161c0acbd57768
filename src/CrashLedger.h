#pragma once

#include "CrashCount.h"
#include "Ids.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// Counts over all instances how often a request's targets broke off while
/// they ran it, and tells which requests are to be refused since they crash
/// the targets that run them. An answer clears a request at its instance.
class CrashLedger
{
public:
  /// Breaks after which a request is refused. Fewer can be chance: a lost
  /// answer looks the same as a crash.
  static constexpr unsigned kRefusalThreshold = 3;
  /// A request that has not broken a target for this time is forgotten.
  static constexpr Duration kEntryTtl = std::chrono::seconds(60);

  bool IsRefused(RequestFingerprint aRequest) const;
  /// Its target's connection ended while it ran.
  void OnConnectionLost(RequestFingerprint aRequest, TimePoint aNow);
  void OnAnswer(RequestFingerprint aRequest);
  /// What another instance counts now; replaces what it said before, and is
  /// forgotten like own counts if it says nothing more.
  void OnReport(const InstanceName& aInstance,
                const std::vector<CrashCount>& aCounts,
                TimePoint aNow);
  /// Own counts for the next report, those of the latest breaks.
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
};

} // namespace pollenway
