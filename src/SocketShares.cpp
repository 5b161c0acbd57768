#include "SocketShares.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Parts of the sockets, in 64ths. Callers and relayed requests leave an eighth
/// of the sockets for targets. Relayed requests have more connections than may
/// be in flight, so that the others are refused at once.
constexpr size_t kCallers = 28;
constexpr size_t kRelayed = 12;
constexpr size_t kPeers = 8;
constexpr size_t kLookups = 4;
constexpr size_t kStatus = 1;
/// Sockets for the store, links to other instances and listening.
constexpr size_t kOthers = 2;

size_t Share(size_t aMaxSockets, size_t aParts)
{
  return std::max<size_t>(1, aMaxSockets * aParts / 64);
}

} // namespace

SocketShares::SocketShares(size_t aMaxSockets)
  : mCallers(Share(aMaxSockets, kCallers))
  , mRelayed(Share(aMaxSockets, kRelayed))
  , mPeers(Share(aMaxSockets, kPeers))
  , mLookups(Share(aMaxSockets, kLookups))
  , mStatus(Share(aMaxSockets, kStatus))
  , mForwarding(aMaxSockets)
{
  const size_t others =
    mPeers + mLookups + 2 * mStatus + Share(aMaxSockets, kOthers);
  mForwarding -= std::min(aMaxSockets, others);
}

} // namespace pollenway
