#include "InstanceRegistry.h"

#include "OddEntries.h"
#include "PlatformStore.h"
#include "RunCoroutine.h"
#include "SteadyTime.h"
#include "StoreStandIn.h"

#include <nlohmann/json.hpp>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr const char* kKind = "pollenway-instances";
constexpr const char* kName = "z-0";
/// The interval of the registry's checks, and time for the call.
constexpr Duration kCheckTime = 2500ms;

Awaitable<void> Pause(asio::io_context& aIo, Duration aTime)
{
  asio::steady_timer timer(aIo, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

/// Returns the address in the entry; empty if there is no entry.
Awaitable<std::string> ReadAddress(ObjectStore& aStore)
{
  auto object = co_await aStore.Get(kKind, kName);
  if (!object) {
    co_return std::string();
  }
  const auto value = nlohmann::json::parse(object.value().mValue);
  co_return value["address"].get<std::string>();
}

} // namespace

// Guards against instances that find no other one at their start: the store was
// restored from a copy without the entries, or with those of earlier delegates,
// and nobody writes them again.
TEST_CASE("the own entry is written again after a restore")
{
  struct Row
  {
    std::string mCase;
    bool mIsInCopy;
  };
  const Row rows[] = { { "missing in the copy", false },
                       { "another instance's entry in the copy", true } };
  for (const auto& it : rows) {
    CAPTURE(it.mCase);
    asio::io_context io;
    StoreStandIn server(io.get_executor());
    REQUIRE(server.Listen());
    PlatformStore store(io.get_executor(),
                        PlatformStore::Options{ .mEndpoint = server.Endpoint(),
                                                .mConnectTimeout = 200ms,
                                                .mRequestTimeout = 300ms });
    TimePoint restoredAt{};
    std::optional<size_t> position = 0;
    InstanceRegistry registry(io.get_executor(),
                              store,
                              { .mKind = kKind,
                                .mZone = ZoneName("z"),
                                .mSelf = { "10.0.0.1", 7460 },
                                .mIsFirstStart = true },
                              { .mPosition = [&] { return position; },
                                .mNeedsListing = [] { return false; },
                                .mOnListing = [](const InstanceRoster&) {},
                                .mRestoredAt = [&] { return restoredAt; } });
    registry.Start();
    RunCoroutine(io, [&]() -> Awaitable<void> {
      co_await Pause(io, kCheckTime);
      std::string address = co_await ReadAddress(store);
      CHECK(address == "10.0.0.1");
      if (it.mIsInCopy) {
        const nlohmann::json other = { { "address", "10.0.0.9" },
                                       { "port", 7460 },
                                       { "zone", "z" } };
        server.Set(kKind, kName, other);
      } else {
        server.Erase(kKind, kName);
      }
      restoredAt = SteadyNow();
      co_await Pause(io, kCheckTime);
      address = co_await ReadAddress(store);
      CHECK(address == "10.0.0.1");
      // Each restore costs one write, and an instance that is no delegate
      // writes nothing.
      const unsigned calls = server.mCalls;
      co_await Pause(io, kCheckTime);
      CHECK(server.mCalls == calls);
      position.reset();
      restoredAt = SteadyNow();
      co_await Pause(io, kCheckTime);
      CHECK(server.mCalls == calls);
      server.Stop();
    });
  }
}

// Guards against an entry that is missing for good because the first write
// after the restore was refused.
TEST_CASE("a failed write after a restore is repeated")
{
  asio::io_context io;
  StoreStandIn server(io.get_executor());
  REQUIRE(server.Listen());
  PlatformStore store(io.get_executor(),
                      PlatformStore::Options{ .mEndpoint = server.Endpoint(),
                                              .mConnectTimeout = 200ms,
                                              .mRequestTimeout = 300ms });
  TimePoint restoredAt{};
  InstanceRegistry registry(
    io.get_executor(),
    store,
    { .mKind = kKind, .mZone = ZoneName("z"), .mSelf = { "10.0.0.1", 7460 } },
    { .mPosition = []() -> std::optional<size_t> { return 0; },
      .mNeedsListing = [] { return false; },
      .mOnListing = [](const InstanceRoster&) {},
      .mRestoredAt = [&] { return restoredAt; } });
  registry.Start();
  RunCoroutine(io, [&]() -> Awaitable<void> {
    co_await Pause(io, kCheckTime);
    server.Erase(kKind, kName);
    server.mFaults.mStatus = 503;
    restoredAt = SteadyNow();
    co_await Pause(io, kCheckTime);
    server.mFaults = {};
    co_await Pause(io, kCheckTime);
    const std::string address = co_await ReadAddress(store);
    CHECK(address == "10.0.0.1");
    server.Stop();
  });
}

// Guards against an instance that finds no other one at its start, because an
// entry of another writer stands before theirs.
TEST_CASE("an instance is found beside odd entries")
{
  asio::io_context io;
  StoreStandIn server(io.get_executor(), 1);
  REQUIRE(server.Listen());
  PlatformStore store(io.get_executor(), { .mEndpoint = server.Endpoint() });
  InstanceRoster roster;
  InstanceRegistry registry(
    io.get_executor(),
    store,
    { .mKind = kKind, .mZone = ZoneName("z"), .mSelf = { "10.0.0.1", 7460 } },
    { .mPosition = [] { return std::optional<size_t>(); },
      .mNeedsListing = [] { return true; },
      .mOnListing = [&](const InstanceRoster& aRoster) { roster = aRoster; },
      .mRestoredAt = {} });
  for (const auto& it : OddNames()) {
    server.Set(kKind, it, { { "address", 7 } });
  }
  server.Set(kKind,
             "z-0",
             { { "address", "10.0.0.9" }, { "port", 7460 }, { "zone", "z" } });
  registry.Start();
  RunCoroutine(io, [&]() -> Awaitable<void> {
    co_await Pause(io, kCheckTime);
    CHECK(roster.mEntries.size() == 1);
    server.Stop();
  });
}
