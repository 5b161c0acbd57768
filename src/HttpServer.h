#pragma once

#include "HttpConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace pollenway {

/// Accepts connections and runs a handler for each request, one at a time for
/// each connection. All on one executor without locks.
class HttpServer
{
public:
  /// Answers the request whose header was read. A handler that returns without
  /// an answer ends the connection.
  using Handler = std::function<Awaitable<void>(HttpConnection&)>;

  HttpServer(asio::any_io_executor aExecutor,
             HttpLimits aLimits,
             Handler aHandler);

  /// Binds and starts to accept. `aPort` 0 takes any free port.
  Result<void> Listen(const std::string& aAddress, uint16_t aPort);
  uint16_t Port() const;

  /// Limits of new connections, and of the next request on each open one.
  void SetLimits(HttpLimits aLimits);
  /// Goes on serving, and ends each connection with its next answer.
  void EndConnectionsAfterAnswers();
  /// Accepts nothing more, closes idle connections, and lets requests in
  /// flight finish.
  void StopGracefully();
  /// Closes all connections at once.
  void Abort();
  /// Connections with a request in flight.
  size_t BusyConnections() const;
  size_t Connections() const { return mConnections.size(); }

private:
  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<HttpConnection> aConnection);

  asio::any_io_executor mExecutor;
  HttpLimits mLimits;
  Handler mHandler;
  tcp::acceptor mAcceptor;
  std::unordered_set<std::shared_ptr<HttpConnection>> mConnections;
  bool mEndingConnections = false;
  bool mStopping = false;
};

} // namespace pollenway
