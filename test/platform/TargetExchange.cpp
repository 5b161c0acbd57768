#include "TargetExchange.h"

#include "DeploymentPlatform.h"
#include "HttpClientPool.h"
#include "RunCoroutine.h"
#include "SteadyTime.h"
#include "TargetState.h"

#include <boost/asio/steady_timer.hpp>

#include <vector>

using namespace pollenway;
using namespace std::chrono_literals;

// Guards against a target that is paused for all requests because one of them
// had too little time left for a connection: only a connection that takes
// longer than the limit for all is a failure of the target.
TEST_CASE("a connection that lacks time is no failure of the target")
{
  struct Row
  {
    Duration mTimeLeft;
    AttemptFailure mFailure;
  };
  const Row rows[] = {
    { 50ms, AttemptFailure::Timeout },
    { 5s, AttemptFailure::ConnectFailed },
  };
  for (const auto& row : rows) {
    CAPTURE(ToSeconds(row.mTimeLeft));
    asio::io_context io;
    // Connections beyond a full queue of a listening socket get no answer.
    tcp::acceptor acceptor(
      io, { asio::ip::make_address("127.0.0.1"), 0 }, false);
    acceptor.listen(0);
    std::vector<tcp::socket> queued;
    for (int n = 0; n < 4; ++n) {
      queued.emplace_back(io).async_connect(acceptor.local_endpoint(),
                                            [](const ErrorCode&) {});
    }
    io.run_for(50ms);
    io.restart();
    HttpClientPool pool(io.get_executor(), { .mConnectTimeout = 200ms });
    const DeploymentPlatform platform;
    RegisteredTarget record;
    record.mAddress = "127.0.0.1";
    record.mPort = acceptor.local_endpoint().port();
    const auto target = std::make_shared<TargetState>(record, RegionName("r"));
    TargetReachability reachability(1);
    RunCoroutine(io, [&]() -> Awaitable<void> {
      TargetExchange exchange(pool, platform, reachability, target);
      const TimePoint until = SteadyNow() + row.mTimeLeft;
      auto request =
        std::make_shared<const TextRequest>(http::verb::get, "/", 11);
      const auto answer =
        co_await exchange.Run(std::move(request), 0ms, until, until);
      REQUIRE(answer.mFailure);
      CHECK(*answer.mFailure == row.mFailure);
      CHECK_FALSE(answer.mBytesSent);
    });
  }
}
