#include "HttpClientPool.h"

namespace pollenway {

HttpClientPool::HttpClientPool(asio::any_io_executor aExecutor,
                               HttpClientPoolOptions aOptions)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
{
}

Awaitable<Result<std::unique_ptr<HttpClientConnection>>>
HttpClientPool::Acquire(tcp::endpoint aEndpoint,
                        Duration aMaxIdleTime,
                        Duration aMaxConnectTime)
{
  const auto minIdleSince = std::chrono::steady_clock::now() -
                            std::min(aMaxIdleTime, mOptions.mMaxIdleTime);
  auto& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    auto entry = std::move(idle.back());
    idle.pop_back();
    --mIdleConnections;
    if (entry.mIdleSince > minIdleSince && !entry.mConnection->IsStale()) {
      entry.mConnection->SetIdleSince(entry.mIdleSince);
      co_return std::move(entry.mConnection);
    }
  }
  auto connection = std::make_unique<HttpClientConnection>(mExecutor);
  if (mOptions.mLocalAddress) {
    connection->BindTo(*mOptions.mLocalAddress);
  }
  auto connected = co_await connection->Connect(
    aEndpoint, std::min(aMaxConnectTime, mOptions.mConnectTimeout));
  if (!connected) {
    co_return connected.error();
  }
  co_return std::move(connection);
}

void HttpClientPool::Release(tcp::endpoint aEndpoint,
                             std::unique_ptr<HttpClientConnection> aConnection)
{
  auto& idle = mIdle[aEndpoint];
  if (!aConnection->IsReusable() ||
      idle.size() >= mOptions.mMaxIdlePerEndpoint ||
      IdleConnections() >= mOptions.mMaxIdleInTotal) {
    return;
  }
  ++mIdleConnections;
  // A connection on which nothing was written has not shown that it still
  // works.
  if (const auto since = aConnection->IdleSince()) {
    idle.push_front({ std::move(aConnection), *since });
    return;
  }
  idle.push_back({ std::move(aConnection), std::chrono::steady_clock::now() });
}

void HttpClientPool::CloseIdle(tcp::endpoint aEndpoint)
{
  const auto it = mIdle.find(aEndpoint);
  if (it != mIdle.end()) {
    mIdleConnections -= it->second.size();
    mIdle.erase(it);
  }
}

void HttpClientPool::CloseExpired()
{
  const auto minIdleSince =
    std::chrono::steady_clock::now() - mOptions.mMaxIdleTime;
  for (auto& [endpoint, idle] : mIdle) {
    while (!idle.empty() && idle.front().mIdleSince <= minIdleSince) {
      idle.pop_front();
      --mIdleConnections;
    }
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

bool HttpClientPool::CloseOldestIdle()
{
  std::deque<IdleConnection>* oldest = nullptr;
  for (auto& [endpoint, idle] : mIdle) {
    if (!idle.empty() &&
        (!oldest || idle.front().mIdleSince < oldest->front().mIdleSince)) {
      oldest = &idle;
    }
  }
  if (oldest) {
    oldest->pop_front();
    --mIdleConnections;
  }
  return oldest != nullptr;
}

Awaitable<Result<TextResponse>> HttpClientPool::Exchange(
  tcp::endpoint aEndpoint,
  TextRequest aRequest,
  Duration aTimeout,
  size_t aAnswerLimit)
{
  aRequest.prepare_payload();
  auto acquired = co_await Acquire(aEndpoint, mOptions.mMaxIdleTime);
  if (!acquired) {
    co_return acquired.error();
  }
  auto connection = std::move(acquired.value());
  ErrorCode ec = co_await connection->Write(std::move(aRequest), aTimeout);
  if (!ec) {
    ec = co_await connection->ReadHeader(aTimeout);
  }
  if (ec) {
    co_return Error{ ResultCode::PeerUnavailable,
                     "exchange failed: " + ec.message(),
                     {} };
  }
  TextResponse answer(ResponseHeader(connection->Header()));
  char buf[16 * 1024];
  for (;;) {
    auto n = co_await connection->ReadSome(buf, sizeof(buf), aTimeout);
    if (!n) {
      co_return n.error();
    }
    if (n.value() == 0) {
      break;
    }
    if (answer.body().size() + n.value() > aAnswerLimit) {
      co_return Error{ ResultCode::MessageTooLarge, "answer too large", {} };
    }
    answer.body().append(buf, n.value());
  }
  Release(aEndpoint, std::move(connection));
  co_return answer;
}

} // namespace pollenway
