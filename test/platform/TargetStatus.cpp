#include "RawTargetFixture.h"

#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

/// The fixture's routes time out after one second; half a second later the
/// caller must have its answer.
constexpr Duration kMaxAnswerTime = 1500ms;

using Connection = RawTarget::Connection;

std::string HeadWithStatus(const std::string& aRequest,
                           const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " Reason\r\nX-Request-Id: " +
         RawTarget::Field(aRequest, "X-Request-Id") +
         "\r\nX-Server-Signature: signature\r\n";
}

} // namespace

// Guards against a caller that gets an answer whose status is none of HTTP, or
// the switch to another protocol that nobody asked for, and against an
// unrepeatable request that is sent again after it.
TEST_CASE("an answer without a valid status is not passed on")
{
  struct Row
  {
    std::string mStatus;
    std::string mRest;
  };
  std::vector<Row> rows;
  for (const std::string status :
       { "000", "001", "099", "101", "600", "999" }) {
    for (const std::string rest :
         { "Content-Length: 4\r\n\r\nbody",
           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
           "\r\nbody" }) {
      rows.push_back({ status, rest });
    }
  }
  const Row* row = nullptr;
  std::map<std::string, int> received;
  RunWithRawTarget(
    [&](Connection& aConnection) -> Awaitable<void> {
      const std::string request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      ++received[RawTarget::Field(request, "X-Request-Id")];
      co_await aConnection.Write(HeadWithStatus(request, row->mStatus) +
                                 row->mRest);
      co_await aConnection.Pause(20ms);
    },
    [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
      RegisterOften(aFixture, aTarget, 200);
      co_await aFixture.Pause(800ms);
      for (const auto& it : rows) {
        for (const std::string path : { "/safe/", "/once/" }) {
          row = &it;
          CAPTURE(it.mStatus);
          CAPTURE(it.mRest);
          CAPTURE(path);
          const std::string id = "id-" + std::to_string(received.size());
          auto request =
            GatewayFixture::Request(http::verb::get, path + id, id);
          request.set(http::field::cookie, "X-Affinity-Key=" + id);
          const auto outcome = co_await Ask(aFixture, std::move(request));
          CHECK(outcome.mStatus == 502);
          CHECK(outcome.mIsComplete);
          CHECK(outcome.mTime <= kMaxAnswerTime);
          CHECK(received[id] >= 1);
          CHECK((path == "/safe/" || received[id] == 1));
        }
      }
    });
}

// Guards against an interim answer that is taken for the answer itself, which
// has no body and no end.
TEST_CASE("the answer follows any number of interim answers")
{
  struct Row
  {
    std::string mStatus;
    int mCount;
    bool mIsAnswered;
  };
  const Row rows[] = {
    { "100", 1, true },  { "102", 1, true },  { "103", 1, true },
    { "103", 20, true }, { "199", 1, true },  { "100", 1, false },
    { "103", 1, false }, { "199", 3, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mStatus);
    CAPTURE(row.mCount);
    CAPTURE(row.mIsAnswered);
    int received = 0;
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        const std::string request = co_await aConnection.ReadRequest();
        if (request.empty()) {
          co_return;
        }
        ++received;
        for (int n = 0; n < row.mCount; ++n) {
          co_await aConnection.Write(HeadWithStatus(request, row.mStatus) +
                                     "\r\n");
        }
        co_await aConnection.Pause(20ms);
        if (row.mIsAnswered) {
          co_await aConnection.Write(RawTarget::Answer(request, "body"));
        }
        co_await aConnection.ReadRequest();
      },
      [&](GatewayFixture& aFixture, RawTarget&) -> Awaitable<void> {
        const auto outcome = co_await Ask(
          aFixture, GatewayFixture::Request(http::verb::get, "/once/a"));
        CHECK(outcome.mStatus == (row.mIsAnswered ? 200 : 504));
        CHECK(outcome.mIsComplete);
        CHECK((!row.mIsAnswered || outcome.mBodyStart == "body"));
        CHECK(outcome.mTime <= kMaxAnswerTime);
        CHECK(received == 1);
      });
  }
}
