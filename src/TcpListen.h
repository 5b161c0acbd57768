#pragma once

#include "HttpTypes.h"
#include "Result.h"

#include <string>

namespace pollenway {

/// Binds an acceptor and starts to listen; port 0 selects any free port.
/// Errors: InvalidState if the address is malformed or in use.
Result<void> ListenOn(tcp::acceptor& aAcceptor,
                      const std::string& aAddress,
                      uint16_t aPort);

} // namespace pollenway
