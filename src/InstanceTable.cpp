#include "InstanceTable.h"

namespace pollenway {

InstanceTable::InstanceTable(InstanceName aSelf)
  : mSelf(std::move(aSelf))
{
}

bool InstanceTable::OnSummary(const InstanceSummary& aSummary, TimePoint aNow)
{
  if (aSummary.mName == mSelf || aSummary.mName.IsEmpty()) {
    return false;
  }
  auto& peer = mPeers[aSummary.mName];
  const auto& known = peer.mSummary;
  if (!known.mName.IsEmpty() &&
      (aSummary.mRun < known.mRun || (aSummary.mRun == known.mRun &&
                                      aSummary.mSequence <= known.mSequence))) {
    return false;
  }
  peer.mSummary = aSummary;
  peer.mHeardAt = aNow;
  return true;
}

void InstanceTable::Expire(TimePoint aNow)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeardAt > kForgottenAfter;
  });
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

bool InstanceTable::WasHeardWithin(const InstanceName& aName,
                                   Duration aTime,
                                   TimePoint aNow) const
{
  const auto it = mPeers.find(aName);
  return it != mPeers.end() && aNow - it->second.mHeardAt < aTime;
}

} // namespace pollenway
