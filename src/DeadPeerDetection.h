#pragma once

#include "HttpTypes.h"

namespace pollenway {

/// Makes the operating system close a connection whose peer no longer responds
/// on the network: sent data stays unacknowledged, or keep-alive probes stay
/// unanswered. Otherwise, a connection whose state a device on the path has
/// discarded stays open indefinitely.
void EnableDeadPeerDetection(tcp::socket& aSocket);

} // namespace pollenway
