#include "StateFeed.h"

#include "PlatformStore.h"
#include "RunCoroutine.h"
#include "SteadyTime.h"
#include "StoreStandIn.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
    : mServer(mIo.get_executor())
  {
    REQUIRE(mServer.Listen());
    mStore.emplace(mIo.get_executor(),
                   PlatformStore::Options{ .mEndpoint = mServer.Endpoint(),
                                           .mRequestTimeout = 200ms });
    mFeed.emplace(
      mIo.get_executor(),
      *mStore,
      *mStore,
      StateFeed::Options{ .mKind = "k", .mInitialRetryDelay = 10ms },
      StateFeed::Callbacks{ [this](const StoreListing& aListing) {
                             ++mListings;
                             for (const auto& it : aListing.mObjects) {
                               mNames.push_back(it.mName);
                             }
                           },
                            [this](const StoreChange& aChange) {
                              mNames.push_back(aChange.mName);
                            } });
    mFeed->Start();
  }

  Awaitable<void> Pause(Duration aTime)
  {
    asio::steady_timer timer(mIo, aTime);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }

  asio::io_context mIo;
  StoreStandIn mServer;
  std::optional<PlatformStore> mStore;
  std::optional<StateFeed> mFeed;
  std::vector<std::string> mNames;
  int mListings = 0;
};

} // namespace

// Guards against changes that are lost with the store's history, and against
// polling: an idle feed has one pending call.
TEST_CASE("a feed lists once, watches, and lists again after a gap")
{
  Fixture fixture;
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    fixture.mServer.Set("k", "a", 1);
    co_await fixture.Pause(300ms);
    CHECK(fixture.mNames == std::vector<std::string>{ "a" });
    CHECK(fixture.mServer.mCalls == 2);
    fixture.mServer.Set("k", "b", 1);
    co_await fixture.Pause(500ms);
    CHECK(fixture.mNames.back() == "b");
    CHECK(fixture.mListings == 1);
    fixture.mServer.Set("k", "c", 1);
    fixture.mServer.DropHistory();
    co_await fixture.Pause(800ms);
    CHECK(fixture.mListings == 2);
    CHECK(fixture.mNames.back() == "c");
    fixture.mServer.Stop();
  });
}

// Guards against an instance whose watch has gone silent and which misses a
// change that other instances have reported.
TEST_CASE("a version that other instances have seen triggers a listing")
{
  Fixture fixture;
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    fixture.mServer.Set("k", "a", 1);
    co_await fixture.Pause(300ms);
    // The pending watch does not deliver the next change.
    fixture.mServer.mFaults.mHideEvents = true;
    fixture.mServer.Set("k", "b", 1);
    const uint64_t newest = fixture.mFeed->NewestVersion() + 1;
    for (int n = 0; n < 8; ++n) {
      fixture.mFeed->ExpectVersion(newest, SteadyNow());
      co_await fixture.Pause(250ms);
    }
    CHECK(fixture.mNames.back() == "b");
    CHECK(fixture.mListings == 2);
    fixture.mServer.Stop();
  });
}

// Guards against calls without a delay while the store is unavailable, and
// against a feed that does not recover.
TEST_CASE("an outage is detected and retried with delays, and its end detected")
{
  Fixture fixture;
  RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
    fixture.mServer.mFaults.mStatus = 503;
    co_await fixture.Pause(1500ms);
    CHECK(fixture.mFeed->IsLost());
    CHECK(fixture.mServer.mCalls <= 15);
    fixture.mServer.mFaults = {};
    fixture.mServer.Set("k", "a", 1);
    co_await fixture.Pause(1200ms);
    CHECK_FALSE(fixture.mFeed->IsLost());
    CHECK(fixture.mFeed->RegainedAt() != TimePoint{});
    CHECK(fixture.mNames.back() == "a");
    fixture.mServer.Stop();
  });
}
