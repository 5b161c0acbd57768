#include "InstanceTable.h"

namespace pollenway {

namespace {

/// Maximum age of a fresh summary: one and a half intervals. Summaries arrive
/// twice a second.
constexpr Duration kMaxFreshAge = std::chrono::milliseconds(750);

} // namespace

InstanceTable::InstanceTable(InstanceName aSelf, ZoneName aZone)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
{
}

bool InstanceTable::OnSummary(const InstanceSummary& aSummary, TimePoint aNow)
{
  if (aSummary.mName == mSelf || aSummary.mName.IsEmpty() ||
      aSummary.mZone != mZone) {
    return false;
  }
  auto& peer = mPeers[aSummary.mName];
  const auto& known = peer.mSummary;
  if (!known.mName.IsEmpty() && (aSummary.mIncarnation < known.mIncarnation ||
                                 (aSummary.mIncarnation == known.mIncarnation &&
                                  aSummary.mSequence <= known.mSequence))) {
    return false;
  }
  peer.mSummary = aSummary;
  peer.mLastReceivedAt = aNow;
  return true;
}

std::vector<IpEndpoint> InstanceTable::Expire(TimePoint aNow)
{
  std::vector<IpEndpoint> out;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const auto& peer = aEntry.second;
    const bool isExpired = aNow - peer.mLastReceivedAt > kSilentRetentionTime;
    if (isExpired) {
      out.push_back(peer.mSummary.mPeer);
    }
    return isExpired;
  });
  return out;
}

std::vector<const InstanceTable::Peer*> InstanceTable::Live(
  TimePoint aNow) const
{
  std::vector<const Peer*> out;
  for (const auto& [name, peer] : mPeers) {
    if (IsLive(peer, aNow)) {
      out.push_back(&peer);
    }
  }
  return out;
}

bool InstanceTable::IsFresh(const Peer& aPeer, TimePoint aNow) const
{
  return aNow - aPeer.mLastReceivedAt < kMaxFreshAge;
}

} // namespace pollenway
