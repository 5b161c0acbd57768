#include "../../apps/pollenway-backend/BackendTarget.h"

#include "HttpClientPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pollenway;

namespace {

constexpr auto kTimeout = std::chrono::seconds(20);

/// A target with a single slot and a client for it.
struct TargetFixture
{
  explicit TargetFixture(Duration aServiceTime)
    : mTarget(mIo.get_executor(), MakeOptions(aServiceTime), mLog)
    , mPool(mIo.get_executor(), {})
  {
    REQUIRE(mTarget.Start());
    mEndpoint =
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), mTarget.Port());
  }

  static BackendTarget::Options MakeOptions(Duration aServiceTime)
  {
    BackendTarget::Options options;
    options.mName = "target";
    options.mAddress = "127.0.0.1";
    options.mServiceTime.mBase = aServiceTime;
    options.mServiceTime.mMeanExtra = Duration::zero();
    options.mRestartDelay = std::chrono::milliseconds(50);
    return options;
  }

  static TextRequest Posting()
  {
    TextRequest request(http::verb::post, "/levies", 11);
    request.set("Idempotency-Key", "key");
    request.set("Pollenway-Workspace", "workspace");
    request.body() = "body";
    request.prepare_payload();
    return request;
  }

  Awaitable<Result<TextResponse>> Exchange(TextRequest aRequest)
  {
    auto answer = co_await mPool.Exchange(
      mEndpoint, std::move(aRequest), kTimeout, 1 << 20);
    co_return answer;
  }

  /// Waits up to about 5 s until a statistic of the target has this value.
  Awaitable<void> WaitFor(std::string aStatistic, nlohmann::json aValue)
  {
    for (int i = 0; i < 5000 && mTarget.Stats()[aStatistic] != aValue; ++i) {
      ErrorCode ec;
      asio::steady_timer timer(mIo, std::chrono::milliseconds(1));
      co_await timer.async_wait(Into(ec));
    }
    CHECK(mTarget.Stats()[aStatistic] == aValue);
  }

  template<typename Test>
  void Run(Test aTest)
  {
    bool done = false;
    asio::co_spawn(
      mIo,
      [&]() -> Awaitable<void> {
        co_await aTest();
        done = true;
        mTarget.Stop();
      },
      asio::detached);
    mIo.run();
    CHECK(done);
  }

  asio::io_context mIo;
  ExecutionLog mLog;
  BackendTarget mTarget;
  HttpClientPool mPool;
  tcp::endpoint mEndpoint;
};

} // namespace

// Guards against a target that runs more requests than it has slots, doesn't
// release the slot of a cancelled request, or counts a shed request as
// executed.
TEST_CASE("a target sheds above its slots and stops cancelled requests")
{
  TargetFixture fixture(std::chrono::hours(1));
  fixture.Run([&]() -> Awaitable<void> {
    HttpClientConnection first(fixture.mIo.get_executor());
    auto connected = co_await first.Connect(fixture.mEndpoint, kTimeout);
    REQUIRE(connected);
    auto posting = TargetFixture::Posting();
    co_await first.Write(std::move(posting), kTimeout);
    co_await fixture.WaitFor("executed", 1);
    posting = TargetFixture::Posting();
    auto answer = co_await fixture.Exchange(std::move(posting));
    REQUIRE(answer);
    CHECK(answer.value().result_int() == 503);
    CHECK(answer.value()["Pollenway-Not-Run"] == "1");
    first.Close();
    co_await fixture.WaitFor("cancelled", 1);
    CHECK(fixture.mTarget.Stats()["slots_in_use"] == 0);
    CHECK(fixture.mTarget.Stats()["peak_slots"] == 1);
    CHECK(fixture.mLog.Executions("workspace", "key") == 1);
  });
}

// Guards against work that continues after the request's deadline.
TEST_CASE("a target stops a request at its deadline")
{
  TargetFixture fixture(std::chrono::hours(1));
  fixture.Run([&]() -> Awaitable<void> {
    const std::pair<const char*, unsigned> rows[] = { { "0", 503 },
                                                      { "5", 504 } };
    for (const auto& [deadline, status] : rows) {
      auto posting = TargetFixture::Posting();
      posting.set("Pollenway-Deadline-Ms", deadline);
      posting.set("Pollenway-Request-Id", "id-7");
      auto answer = co_await fixture.Exchange(std::move(posting));
      REQUIRE(answer);
      CHECK(answer.value().result_int() == status);
      CHECK(answer.value()["Pollenway-Request-Id"] == "id-7");
    }
    CHECK(fixture.mTarget.Stats()["deadline_exceeded"] == 2);
    CHECK(fixture.mLog.Executions("workspace", "key") == 1);
  });
}

// Guards against a crash that doesn't close connections or release slots, or
// isn't counted as an execution of the request that caused it.
TEST_CASE("a marked request crashes the target, which then restarts")
{
  TargetFixture fixture(Duration::zero());
  fixture.Run([&]() -> Awaitable<void> {
    auto posting = TargetFixture::Posting();
    posting.set("X-Crash", "1");
    auto answer = co_await fixture.Exchange(std::move(posting));
    CHECK(!answer);
    HttpClientConnection refused(fixture.mIo.get_executor());
    auto connected = co_await refused.Connect(fixture.mEndpoint, kTimeout);
    CHECK(!connected);
    co_await fixture.WaitFor("down", false);
    posting = TargetFixture::Posting();
    answer = co_await fixture.Exchange(std::move(posting));
    REQUIRE(answer);
    CHECK(answer.value().result_int() == 200);
    CHECK(fixture.mTarget.Stats()["slots_in_use"] == 0);
    CHECK(fixture.mTarget.Stats()["crashes"] == 1);
    CHECK(fixture.mLog.Executions("workspace", "key") == 2);
  });
}

// Guards against silent connections that answer again, or that affect new
// connections.
TEST_CASE("connections that went silent stay silent while new ones work")
{
  TargetFixture fixture(Duration::zero());
  fixture.Run([&]() -> Awaitable<void> {
    HttpClientConnection old(fixture.mIo.get_executor());
    auto connected = co_await old.Connect(fixture.mEndpoint, kTimeout);
    REQUIRE(connected);
    auto posting = TargetFixture::Posting();
    co_await old.Write(std::move(posting), kTimeout);
    ErrorCode ec = co_await old.ReadHeader(kTimeout);
    REQUIRE(!ec);
    char buf[4096];
    auto n = co_await old.ReadSome(buf, sizeof(buf), kTimeout);
    REQUIRE(n);
    fixture.mTarget.SilenceConnections();
    posting = TargetFixture::Posting();
    co_await old.Write(std::move(posting), kTimeout);
    posting = TargetFixture::Posting();
    auto answer = co_await fixture.Exchange(std::move(posting));
    REQUIRE(answer);
    CHECK(answer.value().result_int() == 200);
    ec = co_await old.ReadHeader(std::chrono::milliseconds(50));
    CHECK(ec);
    CHECK(fixture.mLog.Executions("workspace", "key") == 2);
  });
}
