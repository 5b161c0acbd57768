#include "AdminServer.h"

#include "HttpClientPool.h"
#include "Spawn.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pollenway;

namespace {

/// An admin server whose callbacks only record their calls.
struct Fixture
{
  Fixture()
  {
    AdminServer::Callbacks callbacks;
    callbacks.mState = [] { return nlohmann::json{ { "name", "a-1" } }; };
    callbacks.mMetrics = [] { return std::string("m 1\n"); };
    callbacks.mWithdraw = [this](const KeyId& aKey) {
      mWithdrawn.push_back(aKey);
    };
    // The other zone confirms after a few polls.
    callbacks.mWithdrawalReport = [this] {
      const int confirmed = mReports++ < 3 ? 0 : 1;
      return nlohmann::json::array(
        { { { "zone", "b" }, { "members", 1 }, { "confirmed", confirmed } } });
    };
    callbacks.mDrain = [this] { ++mDrains; };
    AdminServer::Options options{ .mName = InstanceName("a-1"),
                                  .mZone = ZoneName("a") };
    mServer.emplace(mIo.get_executor(), options, mDecisions, callbacks);
    REQUIRE(mServer->Listen("127.0.0.1", 0));
  }

  /// Sends a request and returns the status and body of the answer.
  std::pair<unsigned, std::string> Send(http::verb aMethod,
                                        std::string aTarget,
                                        std::string aBody = {})
  {
    std::pair<unsigned, std::string> out;
    HttpClientPool pool(mIo.get_executor(), {});
    Spawn(mIo, [&]() -> Awaitable<void> {
      const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                   mServer->Server().Port());
      TextRequest request(aMethod, aTarget, 11);
      request.body() = aBody;
      auto answer = co_await pool.Exchange(
        endpoint, std::move(request), std::chrono::seconds(10), 1 << 20);
      if (answer) {
        out = { answer.value().result_int(), answer.value().body() };
      }
      mIo.stop();
    });
    mIo.restart();
    mIo.run();
    return out;
  }

  asio::io_context mIo;
  DecisionLog mDecisions;
  std::vector<KeyId> mWithdrawn;
  int mReports = 0;
  int mDrains = 0;
  std::optional<AdminServer> mServer;
};

} // namespace

// Guards against a withdrawal that is answered before the other zones have
// confirmed it, and against accepting a malformed body.
TEST_CASE("a withdrawal waits for the zones' confirmation")
{
  Fixture fixture;
  const auto [status, body] =
    fixture.Send(http::verb::post, "/withdrawals", R"({"key": "till-9"})");
  CHECK(status == 200);
  const auto answer = nlohmann::json::parse(body);
  CHECK(answer["zone"] == "a");
  CHECK(answer["complete"] == true);
  CHECK(answer["zones"][0]["confirmed"] == 1);
  CHECK(fixture.mWithdrawn == std::vector{ KeyId("till-9") });
  for (const char* it : { "", "{}", R"({"key": 7})", R"({"key": ""})", "[" }) {
    CAPTURE(it);
    CHECK(fixture.Send(http::verb::post, "/withdrawals", it).first == 400);
  }
  CHECK(fixture.mWithdrawn.size() == 1);
}

// Guards against an answer that reports a confirmation that was not received,
// and against a wait that is longer than the client's timeout.
TEST_CASE("a withdrawal reports that the wait ended without confirmation")
{
  Fixture fixture;
  const auto [status, body] = fixture.Send(
    http::verb::post, "/withdrawals", R"({"key": "till-9", "wait_ms": 0})");
  CHECK(status == 200);
  CHECK(nlohmann::json::parse(body)["complete"] == false);
  CHECK(fixture.mWithdrawn == std::vector{ KeyId("till-9") });
  for (const char* it : { R"({"key": "k", "wait_ms": 3001})",
                          R"({"key": "k", "wait_ms": -1})",
                          R"({"key": "k", "wait_ms": "1"})" }) {
    CAPTURE(it);
    CHECK(fixture.Send(http::verb::post, "/withdrawals", it).first == 400);
  }
}

// Guards against a GET request, for example of a monitoring probe, that starts
// a drain.
TEST_CASE("only a POST starts a drain")
{
  Fixture fixture;
  CHECK(fixture.Send(http::verb::get, "/drain").first == 404);
  CHECK(fixture.mDrains == 0);
  CHECK(fixture.Send(http::verb::post, "/drain").first == 202);
  CHECK(fixture.mDrains == 1);
}

// Guards against an explanation of the wrong request, and against an
// explanation for an unknown request id.
TEST_CASE("explain answers by id and by number")
{
  Fixture fixture;
  for (const char* it : { "r-1", "r-2" }) {
    DecisionRecord record;
    record.mId = it;
    record.mCode = ResultCode::RateExceeded;
    record.mAdmission = ResultCode::RateExceeded;
    fixture.mDecisions.Add(record);
  }
  const auto one = fixture.Send(http::verb::get, "/explain?request=r-1");
  REQUIRE(one.first == 200);
  const auto record = nlohmann::json::parse(one.second);
  CHECK(record["id"] == "r-1");
  CHECK(record["outcome"] == "not-run");
  CHECK(record["admission"] == "RateExceeded");
  CHECK(fixture.Send(http::verb::get, "/explain?request=r-3").first == 404);
  CHECK(fixture.Send(http::verb::get, "/explain").first == 400);
  const auto last = fixture.Send(http::verb::get, "/explain?last=1");
  CHECK(nlohmann::json::parse(last.second)["requests"][0]["id"] == "r-2");
  CHECK(fixture.Send(http::verb::get, "/metrics").second == "m 1\n");
  CHECK(fixture.Send(http::verb::get, "/state").first == 200);
}
