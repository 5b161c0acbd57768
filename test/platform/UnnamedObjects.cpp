#include "PlatformStore.h"
#include "RunCoroutine.h"
#include "StoreStandIn.h"

using namespace pollenway;
using namespace std::chrono_literals;

// Guards against entries of another writer that end a listing for all others,
// because they have no name after which the next page could begin.
TEST_CASE("a listing continues behind a page without names")
{
  const nlohmann::json rows[] = {
    "odd",
    nullptr,
    { { "name", nullptr } },
    { { "name", 7 } },
  };
  for (const auto& metadata : rows) {
    CAPTURE(metadata.dump());
    asio::io_context io;
    StoreStandIn server(io.get_executor(), 1);
    REQUIRE(server.Listen());
    PlatformStore store(io.get_executor(), { .mEndpoint = server.Endpoint() });
    RunCoroutine(io, [&]() -> Awaitable<void> {
      server.Set("servers", "i-0", { { "n", 1 } });
      server.SetMetadata("servers", "i-5", metadata);
      server.Set("servers", "i-9", { { "n", 1 } });
      const auto listing =
        co_await store.List("servers", ReadFreshness::Current);
      CHECK(listing);
      if (listing) {
        CHECK(listing.value().mObjects.size() == 2);
      }
      server.Stop();
    });
  }
}
