#pragma once

#include "HttpTypes.h"

namespace pollenway {

/// Makes the system end a connection whose peer no longer answers on the
/// network: unacknowledged data and unanswered keep-alive probes. Without it,
/// a connection that something in between has forgotten stays open for good.
void EnableDeadPeerDetection(tcp::socket& aSocket);

} // namespace pollenway
