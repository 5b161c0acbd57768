#pragma once

#include "HttpClientConnection.h"

#include <deque>
#include <map>
#include <memory>

namespace pollenway {

struct HttpClientPoolOptions
{
  Duration mConnectTimeout = std::chrono::seconds(1);
  /// Idle connections are closed after this time.
  Duration mMaxIdleTime = std::chrono::seconds(20);
  size_t mMaxIdlePerEndpoint = 32;
  /// Limit over all endpoints, because each connection uses a file descriptor.
  size_t mMaxIdleInTotal = 4096;
  /// Local address of new connections; chosen by the system if not set.
  std::optional<asio::ip::address> mLocalAddress = std::nullopt;
};

/// Keeps idle connections to each endpoint. A connection is reused only after a
/// complete exchange; one that is closed or has unexpected data to read is
/// discarded before use.
class HttpClientPool
{
public:
  HttpClientPool(asio::any_io_executor aExecutor,
                 HttpClientPoolOptions aOptions);

  /// Returns a connection that has been idle for less than `aMaxIdleTime`, or a
  /// new one. Zero always opens a new connection, for requests that must not be
  /// sent on one that the peer may be closing. A new connection may take up to
  /// `aMaxConnectTime`, at most `mConnectTimeout`.
  Awaitable<Result<std::unique_ptr<HttpClientConnection>>> Acquire(
    tcp::endpoint aEndpoint,
    Duration aMaxIdleTime,
    Duration aMaxConnectTime = Duration::max());

  void Release(tcp::endpoint aEndpoint,
               std::unique_ptr<HttpClientConnection> aConnection);
  /// Closes the idle connections of an endpoint.
  void CloseIdle(tcp::endpoint aEndpoint);
  /// Closes the connections that have been idle for longer than `mMaxIdleTime`.
  void CloseExpired();
  /// Closes the connection that has been idle for longest. Returns false if
  /// there is none.
  bool CloseOldestIdle();
  size_t IdleConnections() const { return mIdleConnections; }
  Duration ConnectTimeout() const { return mOptions.mConnectTimeout; }

  /// Performs one complete exchange. Errors: MessageTooLarge if the answer's
  /// body exceeds `aAnswerLimit` bytes.
  Awaitable<Result<TextResponse>> Exchange(tcp::endpoint aEndpoint,
                                           TextRequest aRequest,
                                           Duration aTimeout,
                                           size_t aAnswerLimit);

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpClientConnection> mConnection;
    std::chrono::steady_clock::time_point mIdleSince;
  };

  asio::any_io_executor mExecutor;
  HttpClientPoolOptions mOptions;
  std::map<tcp::endpoint, std::deque<IdleConnection>> mIdle;
  /// Number of connections in `mIdle`.
  size_t mIdleConnections = 0;
};

} // namespace pollenway
