#include "HttpClientPool.h"

#include "RunCoroutine.h"
#include "TargetStandIn.h"

using namespace pollenway;
using namespace std::chrono_literals;

// Guards against exhausting the file descriptors with idle connections to
// hundreds of targets, and against connections that stay open indefinitely at
// targets without further requests.
TEST_CASE("idle connections are bounded in number and time")
{
  asio::io_context io;
  std::vector<std::unique_ptr<TargetStandIn>> targets;
  HttpClientPool pool(io.get_executor(),
                      { .mMaxIdleTime = 300ms, .mMaxIdleInTotal = 3 });
  RunCoroutine(io, [&]() -> Awaitable<void> {
    for (int n = 0; n < 5; ++n) {
      targets.push_back(std::make_unique<TargetStandIn>(io.get_executor()));
      REQUIRE(targets.back()->Listen());
      const tcp::endpoint endpoint{ asio::ip::make_address("127.0.0.1"),
                                    targets.back()->Port() };
      TextRequest request(http::verb::get, "/", 11);
      auto answer =
        co_await pool.Exchange(endpoint, std::move(request), 1s, 4096);
      CHECK(answer);
    }
    CHECK(pool.IdleConnections() == 3);
    pool.CloseExpired();
    CHECK(pool.IdleConnections() == 3);
    asio::steady_timer timer(io, 400ms);
    co_await timer.async_wait(asio::use_awaitable);
    pool.CloseExpired();
    CHECK(pool.IdleConnections() == 0);
    for (const auto& it : targets) {
      it->Server().Abort();
    }
  });
}

// Guards against idle connections to targets that keep the sockets which a
// request needs, and against a wrong number of them afterwards.
TEST_CASE("idle connections are closed one by one, the oldest first")
{
  asio::io_context io;
  std::vector<std::unique_ptr<TargetStandIn>> targets;
  HttpClientPool pool(io.get_executor(), {});
  RunCoroutine(io, [&]() -> Awaitable<void> {
    std::vector<tcp::endpoint> endpoints;
    for (int n = 0; n < 3; ++n) {
      targets.push_back(std::make_unique<TargetStandIn>(io.get_executor()));
      REQUIRE(targets.back()->Listen());
      endpoints.emplace_back(asio::ip::make_address("127.0.0.1"),
                             targets.back()->Port());
      TextRequest request(http::verb::get, "/", 11);
      auto answer =
        co_await pool.Exchange(endpoints.back(), std::move(request), 1s, 4096);
      CHECK(answer);
    }
    CHECK(pool.CloseOldestIdle());
    CHECK(pool.IdleConnections() == 2);
    // The oldest one was that to the first target.
    pool.CloseIdle(endpoints[0]);
    CHECK(pool.IdleConnections() == 2);
    pool.CloseIdle(endpoints[1]);
    CHECK(pool.IdleConnections() == 1);
    CHECK(pool.CloseOldestIdle());
    CHECK_FALSE(pool.CloseOldestIdle());
    CHECK(pool.IdleConnections() == 0);
    for (const auto& it : targets) {
      it->Server().Abort();
    }
  });
}

// Guards against a request that must not be repeated on a connection that has
// been idle for long, because another request had taken it and given it back
// without using it.
TEST_CASE("a connection that was not used keeps its idle time")
{
  struct Row
  {
    Duration mMaxIdleTime;
    bool mIsNew;
  };
  const Row rows[] = { { 8s, false }, { 150ms, true } };
  for (const auto& row : rows) {
    CAPTURE(row.mIsNew);
    asio::io_context io;
    HttpClientPool pool(io.get_executor(), {});
    RunCoroutine(io, [&]() -> Awaitable<void> {
      TargetStandIn target(io.get_executor());
      REQUIRE(target.Listen());
      const tcp::endpoint endpoint{ asio::ip::make_address("127.0.0.1"),
                                    target.Port() };
      TextRequest request(http::verb::get, "/", 11);
      const auto answer =
        co_await pool.Exchange(endpoint, std::move(request), 1s, 4096);
      REQUIRE(answer);
      asio::steady_timer timer(io, 300ms);
      co_await timer.async_wait(asio::use_awaitable);
      auto unused = co_await pool.Acquire(endpoint, 8s, 1s);
      REQUIRE(unused);
      REQUIRE_FALSE(unused.value()->IsNew());
      pool.Release(endpoint, std::move(unused.value()));
      const auto next = co_await pool.Acquire(endpoint, row.mMaxIdleTime, 1s);
      REQUIRE(next);
      CHECK(next.value()->IsNew() == row.mIsNew);
      target.Server().Abort();
    });
  }
}
