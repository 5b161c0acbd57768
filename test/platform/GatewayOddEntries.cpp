#include "GatewayFixture.h"
#include "OddEntries.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

Awaitable<unsigned> StatusOf(GatewayFixture& aFixture, std::string aPath)
{
  auto answer =
    co_await aFixture.Exchange(aFixture.Request(http::verb::get, aPath));
  co_return answer.result_int();
}

} // namespace

// Guards against an instance that ends, serves nothing or no longer follows
// changes because an entry of another writer was there when it started.
TEST_CASE("a gateway starts with odd entries in the store")
{
  GatewayFixture fixture;
  int n = 0;
  for (const auto& it : OddEntries()) {
    it.SetAt(
      fixture.mStoreServer, "servers", "a-odd-" + std::to_string(100 + n++));
  }
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    unsigned status = co_await StatusOf(fixture, "/safe/1");
    CHECK(status == 200);
    fixture.mStoreServer.Erase("servers", "i-0");
    fixture.mStoreServer.Erase("servers", "i-1");
    co_await fixture.Pause(500ms);
    status = co_await StatusOf(fixture, "/safe/1");
    CHECK(status == 503);
  });
}

// Guards against the same when the entry is written while the instance runs, by
// a target's name or another one, and among configurations and evacuations.
TEST_CASE("a gateway follows changes after an odd entry")
{
  for (const std::string kind : { "servers", "config", "evacuations" }) {
    CAPTURE(kind);
    GatewayFixture fixture(1);
    fixture.Configure();
    fixture.Run([&]() -> Awaitable<void> {
      co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
      for (const auto& it : OddEntries()) {
        CAPTURE(it.mCase);
        const std::string name = kind == "config" ? "main" : "odd";
        it.SetAt(fixture.mStoreServer, kind, name);
        co_await fixture.Pause(60ms);
        const unsigned status = co_await StatusOf(fixture, "/safe/1");
        CHECK(status == 200);
      }
      fixture.mStoreServer.Erase("servers", "i-0");
      auto newer = fixture.Configuration("0000000a");
      newer["routes"].erase(0);
      fixture.mStoreServer.Set("config", "main", newer);
      co_await fixture.Pause(1000ms);
      unsigned status = co_await StatusOf(fixture, "/safe/1");
      CHECK(status == 404);
      status = co_await StatusOf(fixture, "/open/1");
      CHECK(status == 503);
      auto record = fixture.TargetRecord(0);
      record["sequence"] = 2;
      fixture.mStoreServer.Set("servers", "i-0", record);
      co_await fixture.Pause(500ms);
      status = co_await StatusOf(fixture, "/open/1");
      CHECK(status == 200);
      fixture.mStoreServer.Set("evacuations", "z", nlohmann::json::object());
      co_await fixture.Pause(500ms);
      status = co_await StatusOf(fixture, "/open/1");
      CHECK(status == 503);
    });
  }
}

// Guards against an instance that serves nothing after a restart, or ignores an
// evacuation, because an entry with an odd name ends a page of the store.
TEST_CASE("a gateway starts with odd names at the end of the store's pages")
{
  GatewayFixture fixture(2, 1);
  for (const char* kind : { "servers", "config", "evacuations" }) {
    for (const auto& name : OddNames()) {
      // The names lie before those that the instance uses.
      fixture.mStoreServer.Set(
        kind, "a" + name.substr(1), nlohmann::json::object());
    }
  }
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    unsigned status = co_await StatusOf(fixture, "/safe/1");
    CHECK(status == 200);
    CHECK_FALSE(fixture.mStoreServer.mFieldNames.contains("X-Odd"));
  });
}

// Guards against requests to a zone that is evacuated, because the instance
// does not see the evacuation.
TEST_CASE("a gateway obeys an evacuation behind an odd name")
{
  GatewayFixture fixture(2, 1);
  for (const auto& name : OddNames()) {
    fixture.mStoreServer.Set(
      "evacuations", "a" + name.substr(1), nlohmann::json::object());
  }
  fixture.mStoreServer.Set("evacuations", "z", nlohmann::json::object());
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    const unsigned status = co_await StatusOf(fixture, "/safe/1");
    CHECK(status == 503);
  });
}
