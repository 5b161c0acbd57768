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
