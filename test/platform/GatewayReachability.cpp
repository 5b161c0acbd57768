#include "GatewayFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

// Guards against an instance that stays in look-ups as one that reaches
// targets after it has lost its paths, also without any request, against one
// that then refuses callers whose requests others could still serve, and
// against one that never returns.
TEST_CASE("an instance without paths to targets notices it and their return")
{
  for (const double requestInterval : { 0.0, 0.1 }) {
    CAPTURE(requestInterval);
    GatewayFixture fixture(3);
    fixture.Configure();
    fixture.Run([&]() -> Awaitable<void> {
      auto& server = *fixture.mServer;
      co_await fixture.Until([&] { return server.IsReady(); });
      CHECK(server.ReachesTargets());
      std::vector<tcp::endpoint> endpoints;
      for (const auto& it : fixture.mTargets) {
        endpoints.emplace_back(asio::ip::make_address("127.0.0.1"), it->Port());
        it->Server().Abort();
      }
      for (int n = 0; n < 50 && server.ReachesTargets(); ++n) {
        if (requestInterval > 0) {
          const auto answer = co_await fixture.Exchange(
            fixture.Request(http::verb::get, "/safe/1"));
          CHECK(answer.result_int() >= 500);
        }
        co_await fixture.Pause(100ms);
      }
      CHECK_FALSE(server.ReachesTargets());
      CHECK(server.IsReady());
      // The system completes connections to a listening socket.
      std::vector<tcp::acceptor> acceptors;
      for (const auto& it : endpoints) {
        acceptors.emplace_back(fixture.mIo, it);
      }
      co_await fixture.Until([&] { return server.ReachesTargets(); });
    });
  }
}
