#include "StoreClient.h"

#include "../PlatformFixture.h"
#include "../platform/EndlessStore.h"

using namespace pollenway;

namespace {

PlatformServer::Faults LostAnswers(double aProbability)
{
  PlatformServer::Faults faults;
  faults.mLoseAnswers = aProbability;
  return faults;
}

} // namespace

// Guards against treating a write whose answer was lost as one without effect.
TEST_CASE("a lost answer is unknown, a refused connection is not done")
{
  PlatformFixture fixture;
  auto& store = *fixture.mClient;
  fixture.Run([&]() -> Awaitable<void> {
    fixture.mServer.SetFaults(LostAnswers(1));
    auto write = co_await store.Put("k", "n", "one", StoreCondition::Absent());
    CHECK(write.mOutcome == WriteOutcome::Unknown);
    CHECK(write.mError.mCode == ResultCode::StoreUnavailable);
    CHECK(store.RetryPause() > Duration::zero());
    auto got = co_await store.Get("k", "n");
    REQUIRE(got);
    CHECK(got.value().mValue == "one");
    CHECK(store.RetryPause() == Duration::zero());

    PlatformServer::Faults outage;
    outage.mOutage = true;
    fixture.mServer.SetFaults(outage);
    got = co_await store.Get("k", "n");
    REQUIRE(!got);
    CHECK(got.error().mCode == ResultCode::StoreUnavailable);

    fixture.mServer.Stop();
    write = co_await store.Put("k", "n", "two", StoreCondition::AtVersion(1));
    CHECK(write.mOutcome == WriteOutcome::NotDone);
    CHECK(write.mError.mCode == ResultCode::StoreUnavailable);
    CHECK(store.Calls().mFailures == 3);
  });
}

// Guards against a name that reads, replaces or removes another object, adds a
// header field to the call, or makes a call of its own.
TEST_CASE("a call with an odd name affects no other object")
{
  const std::string names[] = {
    "n?x",
    "n#x",
    "n/",
    "n HTTP/1.1\r\nIf-None-Match: *\r\nX: ",
    "n HTTP/1.1\r\n\r\nDELETE /v1/objects/k/n",
  };
  for (const auto& name : names) {
    CAPTURE(name);
    PlatformFixture fixture;
    auto& store = *fixture.mClient;
    fixture.Run([&]() -> Awaitable<void> {
      auto write = co_await store.Put("k", "n", "one", {});
      REQUIRE(write.IsDone());
      const auto odd = co_await store.Get("k", name);
      CHECK_FALSE(odd);
      write = co_await store.Put("k", name, "two", {});
      CHECK_FALSE(write.IsDone());
      write = co_await store.Delete("k", name, {});
      CHECK_FALSE(write.IsDone());
      const auto got = co_await store.Get("k", "n");
      CHECK(got);
      if (got) {
        CHECK(got.value().mValue == "one");
        CHECK(got.value().mVersion == 1);
      }
    });
  }
}

// Guards against reporting this client's own write as a conflict after its
// answer was lost, and against reporting a conflict with another writer as a
// write that took effect.
TEST_CASE("a confirmed write resolves lost answers")
{
  PlatformFixture fixture;
  auto& store = *fixture.mClient;
  fixture.Run([&]() -> Awaitable<void> {
    const auto timeout = std::chrono::seconds(20);
    // The first answer is lost, then the answer to the retry (a conflict), and
    // so on. With this seed, at least one answer to each write arrives.
    fixture.mServer.SetFaults(LostAnswers(0.5));
    uint64_t version = 0;
    for (int i = 0; i < 50; ++i) {
      const auto condition =
        version ? StoreCondition::AtVersion(version) : StoreCondition::Absent();
      const std::string value = "value " + std::to_string(i);
      const auto write =
        co_await store.PutConfirmed("k", "n", value, condition, timeout);
      REQUIRE(write.IsDone());
      CHECK(write.mVersion == version + 1);
      version = write.mVersion;
    }
    fixture.mServer.SetFaults(LostAnswers(0));
    const auto conflict = co_await store.PutConfirmed(
      "k", "n", "other", StoreCondition::AtVersion(3), timeout);
    CHECK(conflict.mOutcome == WriteOutcome::Conflict);
    auto got = co_await store.Get("k", "n");
    REQUIRE(got);
    CHECK(got.value().mValue == "value 49");
    CHECK(fixture.mServer.Table().Revision() == 50);
  });
}

// Guards against lost or doubled updates by two writers while answers are lost:
// the counter must equal the number of writes that took effect.
TEST_CASE("concurrent confirmed writers lose no update")
{
  PlatformFixture fixture;
  StoreClient other(fixture.mIo.get_executor(), fixture.ClientOptions());
  unsigned done = 0;
  unsigned unknown = 0;
  const auto increment = [&](StoreClient& aStore,
                             std::string aSuffix) -> Awaitable<void> {
    for (int i = 0; i < 40; ++i) {
      auto got = co_await aStore.Get("k", "n");
      const bool found = got.has_value();
      const int count = found ? std::stoi(got.value().mValue) : 0;
      const auto condition = found
                               ? StoreCondition::AtVersion(got.value().mVersion)
                               : StoreCondition::Absent();
      // The suffix distinguishes the values of the two writers.
      const std::string value = std::to_string(count + 1) + aSuffix;
      const auto write = co_await aStore.PutConfirmed(
        "k", "n", value, condition, std::chrono::seconds(20));
      done += write.IsDone() ? 1 : 0;
      unknown += write.mOutcome == WriteOutcome::Unknown ? 1 : 0;
    }
  };
  bool otherDone = false;
  fixture.mServer.SetFaults(LostAnswers(0.3));
  asio::co_spawn(
    fixture.mIo,
    [&]() -> Awaitable<void> {
      co_await increment(other, " other");
      otherDone = true;
    },
    asio::detached);
  fixture.Run([&]() -> Awaitable<void> {
    co_await increment(*fixture.mClient, " first");
    while (!otherDone) {
      co_await asio::post(asio::use_awaitable);
    }
  });
  const auto* const object = fixture.mServer.Table().Get("k", "n");
  REQUIRE(object);
  const unsigned count = unsigned(std::stoi(*object->mValue));
  CHECK(done > 0);
  CHECK(count >= done);
  CHECK(count <= done + unknown);
}

// Guards against a store, or whatever answers at its address, that fills the
// memory of an instance with bytes without end.
TEST_CASE("answers without end from the store are given up")
{
  // An instance watches all kinds of objects with one call.
  CheckEndlessStore(
    1, [](asio::any_io_executor aExecutor, tcp::endpoint aEndpoint) {
      StoreClient::Options options;
      options.mEndpoint = aEndpoint;
      options.mRequestTimeout = std::chrono::milliseconds(500);
      return std::make_unique<StoreClient>(aExecutor, options);
    });
}

// Guards against a watch that fails at the same position for ever, because the
// answer is too large.
TEST_CASE("a watch whose answer is too large asks for a listing")
{
  PlatformFixture fixture;
  auto& store = *fixture.mClient;
  fixture.Run([&]() -> Awaitable<void> {
    const std::string value(1'000'000, 'v');
    for (int n = 0; n < 9; ++n) {
      const auto write = co_await store.Put("k", std::to_string(n), value, {});
      CHECK(write.IsDone());
    }
    const auto changes =
      co_await store.Watch("k", { {}, 0 }, std::chrono::seconds(1));
    CHECK_FALSE(changes);
    if (!changes) {
      CHECK(changes.error().mCode == ResultCode::InvalidState);
    }
    for (int n = 0; n < 5; ++n) {
      const auto removed = co_await store.Delete("k", std::to_string(n), {});
      CHECK(removed.IsDone());
    }
    const auto listing = co_await store.List("k", ReadFreshness::Current);
    CHECK(listing);
    CHECK((!listing || listing.value().mObjects.size() == 4));
  });
}
