#include "PlatformStore.h"

#include "EndlessStore.h"
#include "OddEntries.h"
#include "RunCoroutine.h"
#include "StoreStandIn.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

std::string NamesOf(const auto& aObjects)
{
  std::string out;
  for (const auto& it : aObjects) {
    if (it.mName != "i-5") {
      out += it.mName + " ";
    }
  }
  return out;
}

struct Fixture
{
  explicit Fixture(size_t aPageSize = 500)
    : mServer(mIo.get_executor(), aPageSize)
  {
    REQUIRE(mServer.Listen());
    mStore.emplace(mIo.get_executor(),
                   PlatformStore::Options{ .mEndpoint = mServer.Endpoint(),
                                           .mConnectTimeout = 200ms,
                                           .mRequestTimeout = 200ms });
  }

  asio::io_context mIo;
  StoreStandIn mServer;
  std::optional<PlatformStore> mStore;
};

} // namespace

// Guards against a listing that ends after its first page.
TEST_CASE("a listing has all pages, and a watch continues from it")
{
  Fixture fixture(2);
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    for (int n = 0; n < 5; ++n) {
      fixture.mServer.Set("servers", "i-" + std::to_string(n), { { "n", n } });
    }
    auto listing =
      co_await fixture.mStore->List("servers", ReadFreshness::Current);
    REQUIRE(listing);
    CHECK(listing.value().mObjects.size() == 5);
    CHECK(listing.value().mObjects[4].mValue == "{\"n\":4}");
    fixture.mServer.Set("servers", "i-5", { { "n", 5 } });
    fixture.mServer.Erase("servers", "i-0");
    auto changes =
      co_await fixture.mStore->Watch("servers", listing.value().mPosition, 1s);
    REQUIRE(changes);
    REQUIRE(changes.value().mChanges.size() == 2);
    CHECK(changes.value().mChanges[0].mName == "i-5");
    CHECK(changes.value().mChanges[0].mValue);
    CHECK(changes.value().mChanges[1].mName == "i-0");
    CHECK_FALSE(changes.value().mChanges[1].mValue);
  });
}

// Guards against treating an outage, a refusal or discarded history as an empty
// answer.
TEST_CASE("each kind of store failure has its error code")
{
  Fixture fixture;
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    fixture.mServer.Set("config", "main", { { "a", 1 } });
    for (const unsigned status : { 429U, 503U }) {
      fixture.mServer.mFaults.mStatus = status;
      auto listing =
        co_await fixture.mStore->List("config", ReadFreshness::Current);
      REQUIRE(!listing);
      CHECK(listing.error().mCode == ResultCode::StoreUnavailable);
    }
    fixture.mServer.mFaults = {};
    fixture.mServer.DropHistory();
    auto changes = co_await fixture.mStore->Watch("config", { {}, 1 }, 1s);
    REQUIRE(!changes);
    CHECK(changes.error().mCode == ResultCode::InvalidState);
    auto missing = co_await fixture.mStore->Get("config", "other");
    REQUIRE(!missing);
    CHECK(missing.error().mCode == ResultCode::NotFound);
    fixture.mServer.mFaults.mSilent = true;
    auto silent =
      co_await fixture.mStore->List("config", ReadFreshness::Current);
    REQUIRE(!silent);
    CHECK(silent.error().mCode == ResultCode::StoreUnavailable);
    fixture.mServer.Stop();
  });
}

// Guards against a write that is reported as not done because its answer has a
// status that HTTP doesn't know: the store may have executed it.
TEST_CASE("an answer without a valid status says nothing about a call")
{
  for (const unsigned status : { 0U, 1U, 99U, 101U, 600U, 999U }) {
    CAPTURE(status);
    Fixture fixture;
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      auto& store = *fixture.mStore;
      fixture.mServer.mFaults.mStatus = status;
      const auto put = co_await store.Put("own", "n", "{}", {});
      CHECK(put.mOutcome == WriteOutcome::Unknown);
      const auto removed = co_await store.Delete("own", "n", {});
      CHECK(removed.mOutcome == WriteOutcome::Unknown);
      const auto listing = co_await store.List("own", ReadFreshness::Current);
      REQUIRE(!listing);
      CHECK(listing.error().mCode == ResultCode::StoreUnavailable);
      const auto changes = co_await store.Watch("own", { {}, 1 }, 50ms);
      REQUIRE(!changes);
      CHECK(changes.error().mCode == ResultCode::StoreUnavailable);
      fixture.mServer.Stop();
    });
  }
}

// Guards against treating a write whose answer was lost as one without effect,
// and against two writers that overwrite each other.
TEST_CASE("conditional writes report conflicts, lost answers are unknown")
{
  Fixture fixture;
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    auto& store = *fixture.mStore;
    auto created = co_await store.Put("own", "n", "{}", {});
    REQUIRE(created.IsDone());
    auto again = co_await store.Put("own", "n", "{}", StoreCondition::Absent());
    CHECK(again.mOutcome == WriteOutcome::Conflict);
    auto replaced = co_await store.Put(
      "own", "n", "{\"a\":1}", StoreCondition::AtVersion(created.mVersion));
    CHECK(replaced.IsDone());
    auto stale = co_await store.Put(
      "own", "n", "{\"a\":2}", StoreCondition::AtVersion(created.mVersion));
    CHECK(stale.mOutcome == WriteOutcome::Conflict);
    fixture.mServer.mFaults.mLoseAnswers = true;
    auto lost = co_await store.Put("own", "n", "{\"a\":3}", {});
    CHECK(lost.mOutcome == WriteOutcome::Unknown);
    fixture.mServer.mFaults = {};
    auto got = co_await store.Get("own", "n");
    REQUIRE(got);
    CHECK(got.value().mValue == "{\"a\":3}");
    auto removed = co_await store.Delete("own", "n", {});
    CHECK(removed.IsDone());
    auto absent = co_await store.Delete("own", "n", {});
    CHECK(absent.mOutcome == WriteOutcome::NotFound);
  });
}

// Guards against a listing of objects that never existed together.
TEST_CASE("a listing with pages of two eras is discarded")
{
  Fixture fixture(2);
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    for (int n = 0; n < 5; ++n) {
      fixture.mServer.Set("servers", "i-" + std::to_string(n), { { "n", n } });
    }
    fixture.mServer.Keep();
    fixture.mServer.OnPage([&] { fixture.mServer.Restore(); });
    auto torn =
      co_await fixture.mStore->List("servers", ReadFreshness::Current);
    REQUIRE(!torn);
    CHECK(torn.error().mCode == ResultCode::StoreUnavailable);
    fixture.mServer.OnPage({});
    auto listing =
      co_await fixture.mStore->List("servers", ReadFreshness::Current);
    REQUIRE(listing);
    CHECK(listing.value().mObjects.size() == 5);
    fixture.mServer.Stop();
  });
}

// Guards against changes that are missed because a restored store has given out
// a watch's revision again and accepts it.
TEST_CASE("a watch from another era is refused")
{
  struct Row
  {
    int mWritesAfterRestore;
    bool mHideEra;
    bool mIsRefused;
  };
  const Row rows[] = {
    // The store does not have the revision.
    { 0, false, true },
    // It has given it out again, and more.
    { 5, false, true },
    // Without the header, only the store can tell.
    { 0, true, true },
    { 5, true, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mWritesAfterRestore);
    CAPTURE(row.mHideEra);
    Fixture fixture;
    fixture.mServer.mFaults.mHideEra = row.mHideEra;
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      fixture.mServer.Keep();
      for (int n = 0; n < 3; ++n) {
        fixture.mServer.Set("servers", "i-0", { { "n", n } });
      }
      auto listing =
        co_await fixture.mStore->List("servers", ReadFreshness::Current);
      REQUIRE(listing);
      CHECK(listing.value().mPosition ==
            StorePosition{ { row.mHideEra ? 0U : 1U }, 13 });
      fixture.mServer.Restore();
      for (int n = 0; n < row.mWritesAfterRestore; ++n) {
        fixture.mServer.Set("servers", "i-1", { { "n", n } });
      }
      auto changes = co_await fixture.mStore->Watch(
        "servers", listing.value().mPosition, 50ms);
      CHECK(bool(changes) != row.mIsRefused);
      if (!changes) {
        CHECK(changes.error().mCode == ResultCode::InvalidState);
      }
      fixture.mServer.Stop();
    });
  }
}

// Guards against an entry of another writer that ends the process, or makes
// the listing or the watch fail again and again for all other entries.
TEST_CASE("an odd entry affects no other")
{
  for (const auto& odd : OddEntries()) {
    for (const size_t pageSize : { size_t(500), size_t(2) }) {
      CAPTURE(odd.mCase);
      CAPTURE(pageSize);
      Fixture fixture(pageSize);
      RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
        auto& server = fixture.mServer;
        for (const int n : { 0, 1, 2, 8, 9 }) {
          server.Set("servers", "i-" + std::to_string(n), { { "n", n } });
        }
        odd.SetAt(server, "servers", "i-5");
        auto listing =
          co_await fixture.mStore->List("servers", ReadFreshness::Current);
        CHECK(listing);
        if (!listing) {
          co_return;
        }
        CHECK(NamesOf(listing.value().mObjects) == "i-0 i-1 i-2 i-8 i-9 ");
        CHECK(listing.value().mObjects.back().mValue == "{\"n\":9}");
        odd.SetAt(server, "servers", "i-5");
        server.Set("servers", "i-6", { { "n", 6 } });
        server.Erase("servers", "i-5");
        auto changes = co_await fixture.mStore->Watch(
          "servers", listing.value().mPosition, 1s);
        CHECK(changes);
        if (!changes) {
          co_return;
        }
        CHECK(NamesOf(changes.value().mChanges) == "i-6 ");
        CHECK(changes.value().mPosition.mRevision == server.Revision());
        server.Stop();
      });
    }
  }
}

// Guards against a name of another writer that stops a listing after its page,
// makes it skip or repeat pages, or becomes a header field or another call.
TEST_CASE("a page that ends with an odd name is followed by the next one")
{
  for (const auto& name : OddNames()) {
    for (const size_t pageSize : { size_t(1), size_t(2), size_t(3) }) {
      CAPTURE(name);
      CAPTURE(pageSize);
      Fixture fixture(pageSize);
      RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
        auto& server = fixture.mServer;
        for (const char* it : { "a", "b", "y", "z", "zzz" }) {
          server.Set("servers", it, { { "n", 1 } });
        }
        server.Set("servers", name, { { "n", 2 } });
        auto listing =
          co_await fixture.mStore->List("servers", ReadFreshness::Current);
        CHECK(listing);
        if (listing) {
          CHECK(NamesOf(listing.value().mObjects) ==
                "a b " + name + " y z zzz ");
        }
        CHECK(server.mCalls == (6 + pageSize - 1) / pageSize);
        CHECK_FALSE(server.mFieldNames.contains("X-Odd"));
        server.Stop();
      });
    }
  }
}

// Guards against an object that can't be read or written because of its name,
// or a call that names another object.
TEST_CASE("an object with an odd name is read, written and removed")
{
  for (const auto& name : OddNames()) {
    CAPTURE(name);
    Fixture fixture;
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      auto& store = *fixture.mStore;
      auto put = co_await store.Put("own", name, "{\"n\":1}", {});
      CHECK(put.IsDone());
      put = co_await store.Put("own", name, "{\"n\":2}", {});
      CHECK(put.IsDone());
      const auto object = co_await store.Get("own", name);
      CHECK(object);
      if (object) {
        CHECK(object.value().mName == name);
        CHECK(object.value().mValue == "{\"n\":2}");
      }
      const auto removed = co_await store.Delete("own", name, {});
      CHECK(removed.IsDone());
      const auto listing = co_await store.List("own", ReadFreshness::Current);
      CHECK(listing);
      if (listing) {
        CHECK(listing.value().mObjects.empty());
      }
      CHECK_FALSE(fixture.mServer.mFieldNames.contains("X-Odd"));
      fixture.mServer.Stop();
    });
  }
}

// Guards against a watch that fails at the same position for ever: an answer
// that can't be read, or is too large, as a whole.
TEST_CASE("a watch whose answer can't be read asks for a listing")
{
  struct Row
  {
    std::string mCase;
    std::string mSpec;
    int mChanges;
  };
  const Row rows[] = {
    { "a string without end", "{\"a\":\"b", 1 },
    { "too large", "\"" + Repeated("a", 990'000) + "\"", 9 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mCase);
    Fixture fixture;
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      auto& server = fixture.mServer;
      server.Set("servers", "i-0", { { "n", 0 } });
      const StorePosition before{ { server.Era() }, server.Revision() };
      for (int n = 0; n < row.mChanges; ++n) {
        server.SetRaw("servers", "i-5", row.mSpec);
      }
      server.Erase("servers", "i-5");
      auto changes = co_await fixture.mStore->Watch("servers", before, 1s);
      CHECK_FALSE(changes);
      if (!changes) {
        CHECK(changes.error().mCode == ResultCode::InvalidState);
      }
      auto listing =
        co_await fixture.mStore->List("servers", ReadFreshness::Current);
      CHECK(listing);
      server.Stop();
    });
  }
}

// Guards against a store, or whatever answers at its address, that fills the
// memory of an instance with bytes without end.
TEST_CASE("answers without end from the store are given up")
{
  // An instance watches three kinds of objects.
  CheckEndlessStore(
    3, [](asio::any_io_executor aExecutor, tcp::endpoint aEndpoint) {
      return std::make_unique<PlatformStore>(
        aExecutor,
        PlatformStore::Options{ .mEndpoint = aEndpoint,
                                .mConnectTimeout = 200ms,
                                .mRequestTimeout = 500ms });
    });
}
