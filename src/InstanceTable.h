#pragma once

#include "InstanceSummary.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// The instances that this one hears from. An instance is live while its last
/// summary is recent; a silent one is kept for a while, because it may only be
/// cut off and still use its shares.
class InstanceTable
{
public:
  /// Three lost summaries in a row don't make an instance silent.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(2200);
  /// The same for an instance that sends every second summary only; two lost
  /// ones don't make it silent.
  static constexpr Duration kRemoteSilenceTimeout =
    std::chrono::milliseconds(3200);
  /// From this number of other instances on, each summary goes to the own
  /// zone and every second one to the others. All to all in step costs the
  /// links between zones and the small machines the most, and the reports of
  /// one far instance among many say little.
  static constexpr size_t kReducedRateThreshold = 48;
  /// Until then a silent instance counts as one that may use its shares.
  static constexpr Duration kSilentRetentionTime = std::chrono::seconds(15);

  struct Peer
  {
    InstanceSummary mSummary;
    TimePoint mLastHeardAt{};
  };

  explicit InstanceTable(InstanceName aSelf, ZoneName aZone = {});

  /// True if the summary is news: a later run, or a later one of the run.
  bool OnSummary(const InstanceSummary& aSummary, TimePoint aNow);
  /// Forgets instances that have been silent for long.
  void Expire(TimePoint aNow);

  /// Every second summary only is exchanged with this instance.
  bool HasReducedSummaryRate(const Peer& aPeer) const
  {
    return mPeers.size() >= kReducedRateThreshold &&
           aPeer.mSummary.mZone != mZone;
  }
  bool IsLive(const Peer& aPeer, TimePoint aNow) const
  {
    return aNow - aPeer.mLastHeardAt < (HasReducedSummaryRate(aPeer)
                                          ? kRemoteSilenceTimeout
                                          : kSilenceTimeout);
  }
  /// Its last summary came in the time of one and a half of them.
  bool IsFresh(const Peer& aPeer, TimePoint aNow) const;
  std::vector<const Peer*> Live(TimePoint aNow) const;
  const std::map<InstanceName, Peer>& All() const { return mPeers; }
  /// Other instances that are live or may still be serving while cut off.
  size_t CountKnown() const { return mPeers.size(); }

private:
  InstanceName mSelf;
  ZoneName mZone;
  std::map<InstanceName, Peer> mPeers;
};

} // namespace pollenway
