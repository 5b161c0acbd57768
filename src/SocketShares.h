#pragma once

#include <cstddef>

namespace pollenway {

/// Maximum number of connections of each kind that an instance accepts. They
/// add up to less than its sockets; the rest is for connections to targets, to
/// other instances and to the store.
struct SocketShares
{
  explicit SocketShares(size_t aMaxSockets);

  size_t mCallers;
  /// Connections on which other instances relay requests.
  size_t mRelayed;
  /// Links from other instances for messages.
  size_t mPeers;
  size_t mLookups;
  /// Connections to each of the addresses for readiness checks and metrics.
  size_t mStatus;
  /// Sockets that callers, relayed requests and targets may use together.
  size_t mForwarding;
};

} // namespace pollenway
