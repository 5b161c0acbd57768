#include "DeadPeerDetection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenway {

namespace {

/// Probes start after one second without data and are sent each second; two
/// without an answer end the connection. Together they stay below the 4 s in
/// which an instance has to notice a lost path.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
/// Longest time that sent data may stay unacknowledged; several round trips
/// between regions, with retransmissions on a lossy link.
constexpr int kUnacknowledgedTimeoutMs = 2500;

} // namespace

void EnableDeadPeerDetection(tcp::socket& aSocket)
{
  const int handle = aSocket.native_handle();
  const int on = 1;
  // Options that a system lacks leave only the time-outs of the callers.
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kProbeAfterSeconds,
             sizeof(kProbeAfterSeconds));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kProbeIntervalSeconds,
             sizeof(kProbeIntervalSeconds));
  setsockopt(
    handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUnacknowledgedTimeoutMs,
             sizeof(kUnacknowledgedTimeoutMs));
}

} // namespace pollenway
