#include "GatewayFixture.h"

#include <deque>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

Awaitable<bool> CloseUnanswered(HttpConnection& aConnection,
                                const TargetStandIn::ReceivedRequest&)
{
  aConnection.Abort();
  co_return true;
}

Awaitable<bool> AnswerUnsigned(HttpConnection& aConnection,
                               const TargetStandIn::ReceivedRequest& aRequest)
{
  auto answer = TargetStandIn::Answer(aRequest, http::status::ok);
  answer.erase("X-Server-Signature");
  co_await aConnection.Write(std::move(answer));
  co_return true;
}

Awaitable<bool> AnswerEncoded(HttpConnection& aConnection,
                              const TargetStandIn::ReceivedRequest& aRequest)
{
  auto answer = TargetStandIn::Answer(aRequest, http::status::ok);
  answer.set(http::field::content_encoding, "gzip");
  co_await aConnection.Write(std::move(answer));
  co_return true;
}

Awaitable<bool> AnswerTruncated(HttpConnection& aConnection,
                                const TargetStandIn::ReceivedRequest& aRequest)
{
  auto answer = TargetStandIn::Answer(aRequest, http::status::ok);
  answer.content_length(1000);
  ResponseHeader header(answer.base());
  co_await aConnection.WriteHeader(std::move(header));
  co_await aConnection.WriteSome("part", 4);
  aConnection.Abort();
  co_return true;
}

Awaitable<bool> Shed(HttpConnection& aConnection,
                     const TargetStandIn::ReceivedRequest& aRequest)
{
  auto answer =
    TargetStandIn::Answer(aRequest, http::status::service_unavailable);
  answer.set("X-Not-Executed", "1");
  co_await aConnection.Write(std::move(answer));
  co_return true;
}

Awaitable<bool> FailWith503(HttpConnection& aConnection,
                            const TargetStandIn::ReceivedRequest& aRequest)
{
  co_await aConnection.Write(
    TargetStandIn::Answer(aRequest, http::status::service_unavailable));
  co_return true;
}

Awaitable<bool> AnswerOtherRequestFirst(
  HttpConnection& aConnection,
  const TargetStandIn::ReceivedRequest& aRequest)
{
  auto other = TargetStandIn::Answer(aRequest, http::status::ok);
  other.set("X-Request-Id", "another");
  other.body() = "not yours";
  co_await aConnection.Write(std::move(other));
  co_return false;
}

/// A port at which connection attempts stay unanswered: its queue of completed
/// connections is full.
class SilentPort
{
public:
  explicit SilentPort(asio::io_context& aIo)
    : mAcceptor(aIo)
  {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    mAcceptor.open(any.protocol());
    mAcceptor.bind(any);
    mAcceptor.listen(0);
    for (int n = 0; n < 2; ++n) {
      mQueued.emplace_back(aIo);
      mQueued.back().async_connect(mAcceptor.local_endpoint(),
                                   [](const ErrorCode&) {});
    }
  }

  uint16_t Port() const { return mAcceptor.local_endpoint().port(); }

private:
  tcp::acceptor mAcceptor;
  std::deque<tcp::socket> mQueued;
};

} // namespace

// Guards against keys that reach targets, workspace names that callers set, and
// requests that are altered in transit.
TEST_CASE("a request reaches its target with this system's header fields")
{
  GatewayFixture fixture(1);
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    auto request = fixture.Request(http::verb::post, "/once/a%20b?c=/&d");
    request.set("X-Tenant-Id", "someone");
    request.set("X-Target-Instance", "i-other");
    request.set("X-Other", "kept");
    request.body() = std::string(70'000, 'b');
    auto answer = co_await fixture.Exchange(std::move(request));
    CHECK(answer.result_int() == 200);
    CHECK(answer["X-Server-Signature"] == "signature");
    CHECK(answer.body() == "answer to /once/a%20b?c=/&d");
    REQUIRE(fixture.CountReceivedRequests() == 1);
    const auto& seen = fixture.mTargets[0]->mReceived[0];
    CHECK(seen.mHeader.method() == http::verb::post);
    CHECK(seen.mHeader["X-Tenant-Id"] == "dairy");
    CHECK(seen.mHeader["X-Target-Instance"] == "i-0");
    CHECK(seen.mHeader["X-Other"] == "kept");
    CHECK(seen.mHeader["X-Request-Id"] == "id-1");
    CHECK(seen.mHeader.count(http::field::authorization) == 0);
    CHECK(seen.mBody == std::string(70'000, 'b'));
    const auto left = fixture.mPlatform.ReadDeadline(
      std::string(seen.mHeader["X-Deadline-Ms"]));
    REQUIRE(left);
    CHECK(*left <= 1s);
  });
}

// Guards against refusals with the wrong status, and against refused requests
// that reach a target.
TEST_CASE("requests that may not run are refused")
{
  struct Row
  {
    const char* mHost;
    const char* mPath;
    const char* mKey;
    size_t mBodyBytes;
    unsigned mStatus;
  };
  const Row rows[] = {
    { "a.example", "/safe/1", "Bearer key-2", 0, 401 },
    { "a.example", "/safe/1", "", 0, 401 },
    { "a.example", "/none/1", "Bearer key-1", 0, 404 },
    { "b.example", "/safe/1", "Bearer key-1", 0, 404 },
    { "a.example", "/once/1", "Bearer key-1", 100'001, 413 },
    { "a.example", "/open/1", "", 0, 200 },
    { "a.example:80", "/safe/1", "Bearer key-1", 0, 200 },
  };
  GatewayFixture fixture(1);
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    for (const auto& it : rows) {
      CAPTURE(it.mPath);
      fixture.mTargets[0]->mReceived.clear();
      auto request = fixture.Request(http::verb::post, it.mPath);
      request.set(http::field::host, it.mHost);
      request.set(http::field::authorization, it.mKey);
      request.body() = std::string(it.mBodyBytes, 'b');
      auto answer = co_await fixture.Exchange(std::move(request));
      CHECK(answer.result_int() == it.mStatus);
      CHECK(fixture.CountReceivedRequests() == (it.mStatus == 200 ? 1 : 0));
    }
  });
}

// Guards against a request that runs twice, against one that fails although
// another target may run it, and against an answer that states more than the
// target did.
TEST_CASE("failed attempts are repeated only where that is allowed")
{
  struct Row
  {
    const char* mName;
    const char* mPath;
    TargetStandIn::Behaviour mBehaviour;
    unsigned mStatus;
    size_t mReceivedCount;
  };
  const Row rows[] = {
    { "lost, idempotent", "/safe/1", CloseUnanswered, 502, 2 },
    { "lost, once", "/once/1", CloseUnanswered, 502, 1 },
    { "unsigned, idempotent", "/safe/1", AnswerUnsigned, 502, 2 },
    { "unsigned, once", "/once/1", AnswerUnsigned, 502, 1 },
    { "encoded, once", "/once/1", AnswerEncoded, 502, 1 },
    { "short, once", "/once/1", AnswerTruncated, 502, 1 },
    { "short, idempotent", "/safe/1", AnswerTruncated, 502, 2 },
    { "not run, once", "/once/1", Shed, 503, 2 },
    { "not run, idempotent", "/safe/1", Shed, 503, 2 },
    { "503 without saying not run, once", "/once/1", FailWith503, 502, 1 },
    { "answer of another request first",
      "/once/1",
      AnswerOtherRequestFirst,
      200,
      1 },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mName);
    GatewayFixture fixture;
    fixture.Configure();
    fixture.SetBehaviour(it.mBehaviour);
    fixture.Run([&]() -> Awaitable<void> {
      co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
      auto answer =
        co_await fixture.Exchange(fixture.Request(http::verb::post, it.mPath));
      CHECK(answer.result_int() == it.mStatus);
      CHECK(fixture.CountReceivedRequests() == it.mReceivedCount);
      if (it.mStatus == 503) {
        CHECK(answer[http::field::retry_after] == "0.250");
      }
      if (it.mStatus == 200) {
        CHECK(answer.body() == "answer to /once/1");
      } else {
        CHECK(answer.count("X-Server-Signature") == 0);
      }
    });
  }
}

// Guards against a caller that waits beyond the route's timeout, and against a
// target that continues to work for a caller that has disconnected.
TEST_CASE("an attempt ends at the route's timeout and when its caller leaves")
{
  GatewayFixture fixture(1);
  fixture.Configure();
  bool disconnected = false;
  fixture.SetBehaviour(
    [&](HttpConnection& aConnection,
        const TargetStandIn::ReceivedRequest&) -> Awaitable<bool> {
      aConnection.WatchDisconnect([&] { disconnected = true; });
      co_await fixture.Until([&] { return disconnected; });
      co_return true;
    });
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    const TimePoint startedAt = SteadyNow();
    auto answer =
      co_await fixture.Exchange(fixture.Request(http::verb::get, "/safe/1"));
    CHECK(answer.result_int() == 504);
    CHECK(SteadyNow() - startedAt >= 1s);
    CHECK(SteadyNow() - startedAt < 1500ms);
    co_await fixture.Until([&] { return disconnected; });

    disconnected = false;
    {
      HttpClientConnection client(fixture.mIo.get_executor());
      (void)co_await client.Connect(
        { asio::ip::make_address("127.0.0.1"), fixture.mServer->CallerPort() },
        1s);
      co_await client.Write(fixture.Request(http::verb::get, "/safe/2"), 1s);
      co_await fixture.Until(
        [&] { return fixture.CountReceivedRequests() == 2; });
    }
    const TimePoint closedAt = SteadyNow();
    co_await fixture.Until([&] { return disconnected; });
    CHECK(SteadyNow() - closedAt < 500ms);
  });
}

// Guards against an answer that the target produced within the route's timeout
// and that is replaced by a refusal while in transit.
TEST_CASE("an answer made just in time is delivered")
{
  GatewayFixture fixture(1);
  fixture.Configure();
  fixture.SetBehaviour(
    [&](HttpConnection&,
        const TargetStandIn::ReceivedRequest&) -> Awaitable<bool> {
      co_await fixture.Pause(1050ms);
      co_return false;
    });
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    auto answer =
      co_await fixture.Exchange(fixture.Request(http::verb::post, "/once/1"));
    CHECK(answer.result_int() == 200);
  });
}

// Guards against an answer from which a caller must conclude that its request
// may have run, although no connection to a target was established in the
// route's time.
TEST_CASE("a request that was never sent is refused as not run")
{
  struct Row
  {
    const char* mPath;
    /// Time that the caller states.
    const char* mDeadlineMs;
    unsigned mStatus;
  };
  const Row rows[] = { { "/safe/1", "5000", 503 },
                       { "/once/1", "5000", 503 },
                       { "/once/1", "", 503 },
                       // Its time is over, so it could not repeat the request.
                       { "/once/1", "900", 504 } };
  GatewayFixture fixture(1);
  SilentPort silent(fixture.mIo);
  fixture.Configure();
  for (int n = 0; n < 4; ++n) {
    auto record = fixture.TargetRecord(0);
    record["address"] = "127.0.0.1:" + std::to_string(silent.Port());
    fixture.mStoreServer.Set("servers", "i-" + std::to_string(n), record);
  }
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    for (const auto& it : rows) {
      CAPTURE(it.mPath);
      CAPTURE(it.mDeadlineMs);
      auto request = fixture.Request(http::verb::post, it.mPath);
      request.erase("X-Deadline-Ms");
      if (*it.mDeadlineMs) {
        request.set("X-Deadline-Ms", it.mDeadlineMs);
      }
      auto answer = co_await fixture.Exchange(std::move(request));
      CHECK(answer.result_int() == it.mStatus);
      CHECK(answer[http::field::retry_after].empty() == (it.mStatus != 503));
      // Ends the pause of the targets after their failures.
      co_await fixture.Pause(3s);
    }
  });
}
