#pragma once

#include "InstanceSummary.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// The other instances of the own zone. An instance is live while its last
/// summary is recent. A silent one is kept for a time, because it may only be
/// cut off and still use its shares.
class InstanceTable
{
public:
  /// Time without a summary after which an instance is silent. Three lost
  /// summaries in a row don't make it silent.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(2200);
  /// Time for which a silent instance is kept and counts as one that may use
  /// its shares.
  static constexpr Duration kSilentRetentionTime = std::chrono::seconds(15);

  struct Peer
  {
    InstanceSummary mSummary;
    TimePoint mLastReceivedAt{};
  };

  InstanceTable(InstanceName aSelf, ZoneName aZone);

  /// Returns true if the summary belongs to a later incarnation than the last
  /// one, or is a later summary of the same incarnation. Ignores it otherwise,
  /// and if it is from another zone.
  bool OnSummary(const InstanceSummary& aSummary, TimePoint aNow);
  /// Removes the instances that have been silent for longer than
  /// `kSilentRetentionTime` and returns their endpoints.
  std::vector<IpEndpoint> Expire(TimePoint aNow);

  bool IsLive(const Peer& aPeer, TimePoint aNow) const
  {
    return aNow - aPeer.mLastReceivedAt < kSilenceTimeout;
  }
  /// Returns true if its last summary arrived within one and a half intervals.
  bool IsFresh(const Peer& aPeer, TimePoint aNow) const;
  std::vector<const Peer*> Live(TimePoint aNow) const;
  const std::map<InstanceName, Peer>& All() const { return mPeers; }
  /// Returns the number of other instances that are live or may still be
  /// serving while cut off.
  size_t CountKnown() const { return mPeers.size(); }

private:
  InstanceName mSelf;
  ZoneName mZone;
  std::map<InstanceName, Peer> mPeers;
};

} // namespace pollenway
