#include "TcpListen.h"

namespace pollenway {

Result<void> ListenOn(tcp::acceptor& aAcceptor,
                      const std::string& aAddress,
                      uint16_t aPort)
{
  ErrorCode ec;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress, ec), aPort);
  if (!ec) {
    aAcceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    aAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Error{ ResultCode::InvalidState,
                  "can't listen on " + aAddress + ":" + std::to_string(aPort) +
                    ": " + ec.message(),
                  {} };
  }
  return outcome::success();
}

} // namespace pollenway
