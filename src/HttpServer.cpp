#include "HttpServer.h"

#include "Spawn.h"
#include "SteadyTime.h"
#include "TcpListen.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace pollenway {

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
/// Time for which a stopping server waits for the first request of a connection
/// that it has just accepted.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(250);
/// Maximum number of connections that a stopping server accepts.
constexpr int kMaxPendingConnections = 1024;
/// Maximum number of connections accepted at once. One connection for each turn
/// of a busy event loop would let the others wait in the queue of the listening
/// socket until their callers have given up.
constexpr int kMaxAcceptedAtOnce = 64;
/// Time for which a connection waits for its caller at least before it is
/// closed for another one.
constexpr Duration kMinReplaceableWait = std::chrono::seconds(1);
/// Time for which a caller takes nothing of its answer at least before its
/// connection is closed for another one.
constexpr Duration kMinReplaceableUnread = std::chrono::seconds(5);
/// Age from which a busy connection may be ended for another one.
constexpr Duration kMinReplaceableAge = std::chrono::seconds(1);
/// One in so many connections is ended at once while others wait.
constexpr size_t kConnectionsPerEnded = 64;

/// Returns the order in which connections are closed for others; empty for one
/// that is not.
std::optional<std::pair<int, TimePoint>> ReplaceableRank(
  const HttpConnection& aConnection,
  TimePoint aNow)
{
  const auto waiting = aConnection.WaitingSince();
  if (waiting && aNow - *waiting >= kMinReplaceableWait) {
    return std::pair(aConnection.HasServed() ? 1 : 0, *waiting);
  }
  const auto unread = aConnection.UnreadSince();
  if (unread && aNow - *unread >= kMinReplaceableUnread) {
    return std::pair(2, *unread);
  }
  return std::nullopt;
}

} // namespace

HttpServer::HttpServer(asio::any_io_executor aExecutor,
                       HttpLimits aLimits,
                       Handler aHandler)
  : mExecutor(aExecutor)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mAcceptor(aExecutor)
{
}

Result<void> HttpServer::Listen(const std::string& aAddress, uint16_t aPort)
{
  BOOST_OUTCOME_TRYV(ListenOn(mAcceptor, aAddress, aPort));
  Spawn(mExecutor, Accept());
  return outcome::success();
}

uint16_t HttpServer::Port() const
{
  ErrorCode ec;
  return mAcceptor.local_endpoint(ec).port();
}

Awaitable<void> HttpServer::Accept()
{
  while (!mStopping) {
    ErrorCode ec;
    tcp::socket socket(mExecutor);
    const bool isFull = IsFull();
    if (isFull) {
      co_await mAcceptor.async_wait(tcp::acceptor::wait_read, Into(ec));
    } else {
      co_await mAcceptor.async_accept(socket, Into(ec));
    }
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (isFull && !ec && !mStopping && IsFull()) {
      MakeRoom();
    }
    if (ec || isFull) {
      // Retries after a delay, for instance if no file descriptor is free.
      asio::steady_timer timer(mExecutor, kAcceptRetryDelay);
      co_await timer.async_wait(Into(ec));
      continue;
    }
    StartServing(std::move(socket));
    AcceptPending(kMaxAcceptedAtOnce);
  }
}

void HttpServer::StartServing(tcp::socket aSocket)
{
  auto connection = std::make_shared<HttpConnection>(
    std::move(aSocket), mLimits, mHeaderMemory);
  if (mStopping) {
    connection->ExpectRequest(kFirstRequestTime);
  }
  mConnections.insert(connection);
  Spawn(mExecutor, Serve(connection));
}

void HttpServer::AcceptPending(int aMaxConnections)
{
  ErrorCode ec;
  mAcceptor.non_blocking(true, ec);
  for (int n = 0; !ec && n < aMaxConnections && (mStopping || !IsFull()); ++n) {
    tcp::socket socket(mExecutor);
    mAcceptor.accept(socket, ec);
    if (!ec) {
      StartServing(std::move(socket));
    }
  }
}

void HttpServer::MakeRoom()
{
  const uint64_t replaced = mReplacedConnections;
  ReplaceInactive();
  if (mReplacedConnections == replaced) {
    EndOldest(1 + mMaxConnections / kConnectionsPerEnded);
  }
}

void HttpServer::ReplaceInactive()
{
  ErrorCode ec;
  mAcceptor.non_blocking(true, ec);
  for (int n = 0; !ec && n < kMaxAcceptedAtOnce; ++n) {
    const auto replaceable = FindReplaceable();
    if (!replaceable) {
      return;
    }
    tcp::socket socket(mExecutor);
    mAcceptor.accept(socket, ec);
    if (!ec) {
      replaceable->Abort();
      ++mReplacedConnections;
      StartServing(std::move(socket));
    }
  }
}

void HttpServer::EndOldest(size_t aCount)
{
  const TimePoint openedBefore = SteadyNow() - kMinReplaceableAge;
  std::vector<HttpConnection*> endable;
  for (const auto& it : mConnections) {
    // The answer in progress does not announce the end of the connection.
    if (it->OpenedAt() <= openedBefore && !it->HasAnswered() &&
        !it->ClosesAfterAnswer()) {
      endable.push_back(it.get());
    }
  }
  const size_t n = std::min(aCount, endable.size());
  std::partial_sort(endable.begin(),
                    endable.begin() + n,
                    endable.end(),
                    [](const auto* aLeft, const auto* aRight) {
                      return aLeft->OpenedAt() < aRight->OpenedAt();
                    });
  for (size_t i = 0; i < n; ++i) {
    endable[i]->CloseAfterAnswer();
    ++mReplacedConnections;
  }
}

std::shared_ptr<HttpConnection> HttpServer::FindReplaceable() const
{
  const TimePoint now = SteadyNow();
  std::shared_ptr<HttpConnection> out;
  std::pair<int, TimePoint> outRank;
  for (const auto& it : mConnections) {
    const auto rank = ReplaceableRank(*it, now);
    if (rank && (!out || *rank < outRank)) {
      out = it;
      outRank = *rank;
    }
  }
  return out;
}

Awaitable<void> HttpServer::Serve(std::shared_ptr<HttpConnection> aConnection)
{
  for (;;) {
    // g++ 12 destroys an awaitable twice if it is awaited in a loop condition.
    const bool hasRequest = co_await aConnection->ReadHeader();
    if (!hasRequest) {
      break;
    }
    if (mStopping || mEndingConnections) {
      aConnection->CloseAfterAnswer();
    }
    co_await mHandler(*aConnection);
    if (!aConnection->HasAnswered() || aConnection->ClosesAfterAnswer() ||
        !aConnection->IsKeepAlive()) {
      break;
    }
    if (mStopping) {
      break;
    }
  }
  if (aConnection->HasAnswered() &&
      (!aConnection->IsBodyDone() || aConnection->HasPendingInput())) {
    co_await aConnection->CloseAfterUnreadBody();
  }
  mConnections.erase(aConnection);
  aConnection->Abort();
}

void HttpServer::SetLimits(HttpLimits aLimits)
{
  mLimits = aLimits;
  for (const auto& it : mConnections) {
    it->SetLimits(aLimits);
  }
}

void HttpServer::EndConnectionsAfterAnswers()
{
  mEndingConnections = true;
  for (const auto& it : mConnections) {
    if (!it->IsIdle()) {
      it->CloseAfterAnswer();
    }
  }
}

void HttpServer::StopGracefully()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  // Closing the listening socket would reset these connections.
  AcceptPending(kMaxPendingConnections);
  ErrorCode ec;
  mAcceptor.close(ec);
  // A read may be complete whose handler has not run yet. The connection is not
  // idle any more after that.
  mIsClosingIdle = true;
  asio::post(mExecutor, [self = std::weak_ptr<HttpServer*>(mSelf)] {
    if (const auto server = self.lock()) {
      (*server)->CloseIdleConnections();
    }
  });
}

void HttpServer::CloseIdleConnections()
{
  mIsClosingIdle = false;
  for (const auto& it : mConnections) {
    if (it->IsIdle()) {
      it->ExpectRequest(kFirstRequestTime);
      if (!it->HasPendingInput()) {
        it->CancelIdleRead();
      }
    }
    it->CloseAfterAnswer();
  }
}

void HttpServer::CancelBodies()
{
  for (const auto& it : mConnections) {
    it->CancelBody();
  }
}

void HttpServer::Abort()
{
  StopGracefully();
  for (const auto& it : mConnections) {
    it->Abort();
  }
}

size_t HttpServer::BusyConnections() const
{
  if (mIsClosingIdle) {
    return mConnections.size();
  }
  size_t n = 0;
  for (const auto& it : mConnections) {
    n += it->IsIdle() ? 0 : 1;
  }
  return n;
}

} // namespace pollenway
