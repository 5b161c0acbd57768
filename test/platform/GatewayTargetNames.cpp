#include "GatewayFixture.h"
#include "OddEntries.h"

using namespace pollenway;
using namespace std::chrono_literals;

// Guards against requests with a header field that another writer has put into
// the name of a target's entry, and against requests that targets refuse
// because of that name.
TEST_CASE("no request has a header field of a target's name")
{
  GatewayFixture fixture(2);
  fixture.mStoreServer.Set("config", "main", fixture.Configuration("00000005"));
  fixture.mStoreServer.Set("servers", "i-0", fixture.TargetRecord(0));
  for (const auto& name : OddNames()) {
    fixture.mStoreServer.Set("servers", name, fixture.TargetRecord(1));
  }
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    for (int n = 0; n < 100; ++n) {
      auto request =
        fixture.Request(http::verb::get, "/safe/" + std::to_string(n));
      // Requests for one object go to one target.
      request.set(http::field::cookie, "X-Affinity-Key=" + std::to_string(n));
      const auto answer = co_await fixture.Exchange(std::move(request));
      CHECK(answer.result_int() == 200);
    }
    CHECK_FALSE(fixture.mTargets[1]->mReceived.empty());
    for (const auto& target : fixture.mTargets) {
      for (const auto& it : target->mReceived) {
        const auto name = std::string(it.mHeader["X-Target-Instance"]);
        CAPTURE(name);
        CHECK(it.mHeader.find("X-Odd") == it.mHeader.end());
        CHECK(it.mHeader.target().starts_with("/safe/"));
        CHECK(name.find_first_of("\t\x01\x7f") == std::string::npos);
        CHECK(name != "m");
      }
    }
  });
}
