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
  /// Over all endpoints; each holds a descriptor.
  size_t mMaxIdleInTotal = 4096;
  /// Connections are made from this address if it is set.
  std::optional<asio::ip::address> mLocalAddress = std::nullopt;
};

/// Keeps idle connections to each endpoint. A connection is handed back only
/// after a complete exchange; closed or unexpectedly readable ones are dropped
/// before use.
class HttpClientPool
{
public:
  HttpClientPool(asio::any_io_executor aExecutor,
                 HttpClientPoolOptions aOptions);

  /// An idle connection no older than `aMaxIdleTime`, or a new one. Zero always
  /// connects anew: needed where a request must not meet a connection that the
  /// other side is just closing.
  Awaitable<Result<std::unique_ptr<HttpClientConnection>>> Acquire(
    tcp::endpoint aEndpoint,
    Duration aMaxIdleTime);

  void Release(tcp::endpoint aEndpoint,
               std::unique_ptr<HttpClientConnection> aConnection);
  /// Closes the idle connections of an endpoint.
  void CloseIdle(tcp::endpoint aEndpoint);
  /// Closes the connections that have been idle for too long.
  void CloseExpired();
  size_t IdleConnections() const;

  /// One whole exchange with a small answer.
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
};

} // namespace pollenway
