#include "GatewayFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

/// The operators' bound for a configuration to come into force.
constexpr Duration kConfigurationBound = 2500ms;

/// Writes a configuration that has only the key "key-2".
void WriteConfigurationWithNewKey(GatewayFixture& aFixture)
{
  auto value = aFixture.Configuration("00000006");
  value["tenants"][0]["apiKeys"] = { "key-2" };
  aFixture.mStoreServer.Set("config", "main", std::move(value));
}

/// Returns the status of the answer to a request with the key "key-2".
Awaitable<unsigned> StatusWithNewKey(GatewayFixture& aFixture)
{
  auto request = GatewayFixture::Request(http::verb::get, "/safe/a");
  request.set(http::field::authorization, "Bearer key-2");
  auto answer = co_await aFixture.Exchange(std::move(request));
  co_return answer.result_int();
}

} // namespace

// Guards against an instance that answers from a table of before an outage: the
// watch of its configuration was open meanwhile and is never answered, and no
// other instance reports the change. The outage is noticed by other calls only.
TEST_CASE("a watch that was open in an outage is replaced after it")
{
  GatewayFixture fixture(1);
  fixture.Configure();
  auto& store = fixture.mStoreServer;
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    co_await fixture.Pause(1500ms);
    store.LoseWatches("config");
    store.mFaults.mStatus = 503;
    // Cuts the other watches.
    store.DropHistory();
    co_await fixture.Pause(500ms);
    WriteConfigurationWithNewKey(fixture);
    store.mFaults = {};
    co_await fixture.Pause(kConfigurationBound);
    const unsigned status = co_await StatusWithNewKey(fixture);
    CHECK(status == 200);
  });
}

// Guards against instances that all answer from an old table because no watch
// is answered any more and no call fails, so that none of them reports the
// change.
TEST_CASE("a configuration comes into force although its watch is silent")
{
  struct Row
  {
    std::string mCase;
    void (*mApply)(StoreStandIn&);
  };
  const Row rows[] = {
    { "the answer is lost",
      [](StoreStandIn& aStore) { aStore.LoseWatches("config"); } },
    { "the store was restored and kept the watch",
      [](StoreStandIn& aStore) { aStore.Restore(false); } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mCase);
    GatewayFixture fixture(1);
    fixture.Configure();
    auto& store = fixture.mStoreServer;
    store.Keep();
    fixture.Run([&]() -> Awaitable<void> {
      co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
      for (int n = 0; n < 5; ++n) {
        store.Set("config", "other", n);
      }
      co_await fixture.Pause(500ms);
      row.mApply(store);
      WriteConfigurationWithNewKey(fixture);
      co_await fixture.Pause(kConfigurationBound);
      const unsigned status = co_await StatusWithNewKey(fixture);
      CHECK(status == 200);
    });
  }
}
