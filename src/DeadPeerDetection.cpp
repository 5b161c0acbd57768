#include "DeadPeerDetection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenway {

namespace {

/// Probes start after 1 s without data and are sent every second; two
/// unanswered probes end the connection. In total, this stays below the 4 s
/// within which an instance must detect a lost path.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
/// Maximum time that sent data may stay unacknowledged. Allows several round
/// trips between regions, with retransmissions on a lossy link.
constexpr int kUnacknowledgedTimeoutMs = 2500;

} // namespace

void EnableDeadPeerDetection(tcp::socket& aSocket)
{
  const int handle = aSocket.native_handle();
  const int on = 1;
  // Errors are ignored: where an option is missing, the callers' time-outs
  // still apply.
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
