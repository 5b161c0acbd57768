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
  static constexpr Duration kLiveAfterSummary = std::chrono::milliseconds(2200);
  /// Until then a silent instance counts as one that may use its shares.
  static constexpr Duration kForgottenAfter = std::chrono::seconds(15);

  struct Peer
  {
    InstanceSummary mSummary;
    TimePoint mHeardAt{};
  };

  explicit InstanceTable(InstanceName aSelf);

  /// True if the summary is news: a later run, or a later one of the run.
  bool OnSummary(const InstanceSummary& aSummary, TimePoint aNow);
  /// Forgets instances that have been silent for long.
  void Expire(TimePoint aNow);

  bool IsLive(const Peer& aPeer, TimePoint aNow) const
  {
    return aNow - aPeer.mHeardAt < kLiveAfterSummary;
  }
  std::vector<const Peer*> Live(TimePoint aNow) const;
  const std::map<InstanceName, Peer>& All() const { return mPeers; }
  /// Other instances that are live or may still be serving while cut off.
  size_t CountKnown() const { return mPeers.size(); }
  bool WasHeardWithin(const InstanceName& aName,
                      Duration aTime,
                      TimePoint aNow) const;

private:
  InstanceName mSelf;
  std::map<InstanceName, Peer> mPeers;
};

} // namespace pollenway
