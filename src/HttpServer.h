#pragma once

#include "HttpConnection.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>

namespace pollenway {

/// Accepts connections and runs a handler for each request, one request at a
/// time per connection. Runs on a single executor without locks.
class HttpServer
{
public:
  /// Answers the request whose header was read. If the handler returns without
  /// an answer, the connection is closed.
  using Handler = std::function<Awaitable<void>(HttpConnection&)>;

  HttpServer(asio::any_io_executor aExecutor,
             HttpLimits aLimits,
             Handler aHandler);

  /// Binds and starts to accept. Port 0 selects any free port.
  Result<void> Listen(const std::string& aAddress, uint16_t aPort);
  uint16_t Port() const;

  /// Sets the limits of new connections, and of the next request on each open
  /// one.
  void SetLimits(HttpLimits aLimits);
  /// Limits the open connections. Others wait in the queue of the listening
  /// socket until one is closed. For them, a connection is closed that has
  /// waited long for its caller's next request or for the rest of it: one
  /// without a complete request if there is any, otherwise the one that has
  /// been idle for longest, then one whose caller has long taken nothing of its
  /// answer. If there is none, the oldest ones are closed after their next
  /// answer.
  void SetMaxConnections(size_t aCount) { mMaxConnections = aCount; }
  /// Limits the memory of the long headers of requests in flight.
  void SetHeaderMemory(uint64_t aBytes)
  {
    mHeaderMemory = std::make_shared<ByteBudget>(aBytes);
  }
  /// Returns the number of connections that were closed for others, or will be
  /// after their next answer.
  uint64_t ReplacedConnections() const { return mReplacedConnections; }
  /// Continues to accept and serve connections, but closes each one after its
  /// next answer.
  void EndConnectionsAfterAnswers();
  /// Stops accepting, closes idle connections, and lets requests in flight
  /// finish. Connections that are complete but not accepted yet, and those on
  /// which a request has arrived, count as requests in flight.
  void StopGracefully();
  /// Ends the waits for bodies that callers have not sent completely.
  void CancelBodies();
  /// Stops accepting and closes all connections immediately.
  void Abort();
  /// Returns the number of connections with a request in flight.
  size_t BusyConnections() const;
  size_t Connections() const { return mConnections.size(); }

private:
  static constexpr uint64_t kDefaultHeaderMemory = 8 * 1024 * 1024;

  Awaitable<void> Accept();
  void StartServing(tcp::socket aSocket);
  /// Accepts connections that the kernel has completed, without waiting.
  void AcceptPending(int aMaxConnections);
  bool IsFull() const { return mConnections.size() >= mMaxConnections; }
  /// Closes connections of a full server for others that wait to be accepted.
  void MakeRoom();
  /// Accepts connections in place of others whose callers neither send nor
  /// read.
  void ReplaceInactive();
  /// Lets up to `aCount` connections end after their next answers.
  void EndOldest(size_t aCount);
  /// Returns the connection to close for another one; null if there is none.
  std::shared_ptr<HttpConnection> FindReplaceable() const;
  void CloseIdleConnections();
  Awaitable<void> Serve(std::shared_ptr<HttpConnection> aConnection);

  asio::any_io_executor mExecutor;
  HttpLimits mLimits;
  Handler mHandler;
  tcp::acceptor mAcceptor;
  std::unordered_set<std::shared_ptr<HttpConnection>> mConnections;
  bool mEndingConnections = false;
  size_t mMaxConnections = std::numeric_limits<size_t>::max();
  uint64_t mReplacedConnections = 0;
  /// Shared with the connections, which may outlive this object.
  std::shared_ptr<ByteBudget> mHeaderMemory =
    std::make_shared<ByteBudget>(kDefaultHeaderMemory);
  bool mStopping = false;
  /// True until the idle connections of a stopping server are closed.
  bool mIsClosingIdle = false;
  /// Expires with this object, for handlers that may run after it.
  std::shared_ptr<HttpServer*> mSelf = std::make_shared<HttpServer*>(this);
};

} // namespace pollenway
