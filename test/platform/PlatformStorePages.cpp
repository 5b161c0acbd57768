#include "PlatformStore.h"

#include "ListingCursor.h"
#include "RunCoroutine.h"
#include "StoreStandIn.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr const char* kNoUtf8 = "i-5\xff";
/// Replaced by `kNoUtf8` in answers, because a JSON library does not write it.
constexpr const char* kNoUtf8Text = "raw spec 0";

/// An object of another writer.
struct OddObject
{
  std::string mCase;
  std::string mName;
  nlohmann::json mMetadata = nlohmann::json::object();
};

/// Returns the names of three bytes, which the other objects have.
std::string OtherNames(const std::vector<StoredObject>& aObjects)
{
  std::string out;
  for (const auto& it : aObjects) {
    if (it.mName.size() == 3) {
      out += it.mName + " ";
    }
  }
  return out;
}

/// Lists four objects among which there is an odd one, and checks that the
/// listing has the others.
void CheckListing(const OddObject& aOdd,
                  size_t aPageSize,
                  const std::string& aRefusedText)
{
  CAPTURE(aOdd.mCase);
  CAPTURE(aPageSize);
  asio::io_context io;
  StoreStandIn server(io.get_executor(), aPageSize);
  REQUIRE(server.Listen());
  PlatformStore store(io.get_executor(),
                      { .mEndpoint = server.Endpoint(),
                        .mConnectTimeout = 200ms,
                        .mRequestTimeout = 300ms });
  server.mFaults.mRefusedText = aRefusedText;
  server.SetRaw("other", "raw", '"' + std::string(kNoUtf8) + '"');
  RunCoroutine(io, [&]() -> Awaitable<void> {
    for (const char* it : { "i-0", "i-1", "i-8", "i-9" }) {
      server.Set("servers", it, { { "n", 1 } });
    }
    server.SetMetadata("servers", aOdd.mName, aOdd.mMetadata);
    auto listing = co_await store.List("servers", ReadFreshness::Current);
    CHECK(listing);
    if (listing) {
      CHECK(OtherNames(listing.value().mObjects) == "i-0 i-1 i-8 i-9 ");
    }
    CHECK(server.mCalls <= 10);
    server.Stop();
  });
}

} // namespace

// Guards against an entry of another writer that ends a listing because no page
// can begin after its name.
TEST_CASE("a listing continues behind a name that the store can't be given")
{
  const OddObject rows[] = {
    { "a name of 70,000 bytes", "i-5" + std::string(70'000, 'x') },
    { "a name of 70,000 bytes before all others", std::string(70'000, 'a') },
    { "an empty name", "" },
    { "a revision of another type", "odd", { { "revision", "new" } } },
    { "a revision that is missing", "i-5", { { "revision", nullptr } } },
    { "a name that is no UTF-8", kNoUtf8, { { "name", kNoUtf8Text } } },
  };
  for (const auto& it : rows) {
    for (const size_t pageSize : { size_t(1), size_t(2), size_t(3) }) {
      CheckListing(it, pageSize, "");
    }
  }
}

// Guards against an invalid object that takes the place of another one by its
// name.
TEST_CASE("an invalid object does not replace the one whose name it has")
{
  const OddObject odd{ "the name of another object",
                       "i-0a",
                       { { "name", "i-8" }, { "revision", "new" } } };
  for (const size_t pageSize : { size_t(3), size_t(500) }) {
    CheckListing(odd, pageSize, "");
  }
}

// Guards against the same by a name that a store refuses although it is
// escaped.
TEST_CASE("a listing continues behind a name that the store refuses")
{
  for (const std::string text : { "\x01", "\x7f", "\r\n" }) {
    for (const size_t pageSize : { size_t(1), size_t(2), size_t(3) }) {
      CheckListing({ "refused", "i-5" + text + "b" }, pageSize, text);
    }
  }
  for (const std::string text : { "\"", "\xc3\xa4", "&" }) {
    for (const size_t pageSize : { size_t(2), size_t(3) }) {
      CheckListing({ "refused", "i-5" + text + "b" }, pageSize, text);
    }
  }
}

// Guards against names that fill the memory of an instance, its log lines and
// its messages to other instances.
TEST_CASE("an object whose name is too long is left out")
{
  asio::io_context io;
  StoreStandIn server(io.get_executor());
  REQUIRE(server.Listen());
  PlatformStore store(io.get_executor(), { .mEndpoint = server.Endpoint() });
  RunCoroutine(io, [&]() -> Awaitable<void> {
    const std::string longest(ListingCursor::kMaxNameBytes, 'x');
    server.Set("servers", longest, 1);
    server.Set("servers", longest + "x", 1);
    server.Set("servers", std::string(900'000, 'x'), 1);
    const StorePosition before{ { server.Era() }, 10 };
    const auto listing = co_await store.List("servers", ReadFreshness::Current);
    REQUIRE(listing);
    REQUIRE(listing.value().mObjects.size() == 1);
    CHECK(listing.value().mObjects[0].mName == longest);
    const auto changes = co_await store.Watch("servers", before, 1s);
    REQUIRE(changes);
    REQUIRE(changes.value().mChanges.size() == 1);
    CHECK(changes.value().mChanges[0].mName == longest);
    server.Stop();
  });
}
