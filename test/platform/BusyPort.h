#pragma once

#include "HttpTypes.h"

#include <vector>

namespace pollenway {

/// A loopback port whose listening queue is full, so that new connections to it
/// neither succeed nor fail.
class BusyPort
{
public:
  explicit BusyPort(asio::io_context& aIo)
    : mAcceptor(aIo)
  {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    mAcceptor.open(any.protocol());
    mAcceptor.bind(any);
    mAcceptor.listen(0);
    // A queue of length zero holds one connection.
    for (int n = 0; n < 2; ++n) {
      mConnections.emplace_back(aIo);
      mConnections.back().async_connect(mAcceptor.local_endpoint(),
                                        [](ErrorCode) {});
    }
  }

  uint16_t Number() const { return mAcceptor.local_endpoint().port(); }

private:
  tcp::acceptor mAcceptor;
  std::vector<tcp::socket> mConnections;
};

} // namespace pollenway
