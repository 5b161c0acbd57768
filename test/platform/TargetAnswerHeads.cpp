#include "RawTargetFixture.h"

#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

} // namespace

// Guards against a caller that gets a success with an empty or a short body
// when a target breaks off within the head of its answer, and against one that
// is told that its request has not run.
TEST_CASE("an answer whose head breaks off is no success")
{
  struct Row
  {
    std::string mFault;
    std::string mStart;
    std::string mFraming;
  };
  const Row rows[] = {
    { "length", "", "Content-Length: 4\r\n\r\n" },
    { "chunked", "", "Transfer-Encoding: chunked\r\n\r\n" },
    { "end by close", "", "\r\n" },
    { "interim answer",
      "HTTP/1.1 100 Continue\r\nX-Request-Id: other\r\n\r\n",
      "Content-Length: 4\r\n\r\n" },
    { "folded field", "", "X-Long: a\r\n b\r\nContent-Length: 4\r\n\r\n" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFault);
    size_t cut = 0;
    bool isReset = false;
    std::map<std::string, int> received;
    // Known after the first request.
    size_t headSize = 1;
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        for (;;) {
          const std::string request = co_await aConnection.ReadRequest();
          if (request.empty()) {
            co_return;
          }
          const std::string id = RawTarget::Field(request, "X-Request-Id");
          if (id.starts_with("whole")) {
            co_await aConnection.Write(RawTarget::Answer(request, "body"));
            continue;
          }
          ++received[id];
          const std::string head =
            row.mStart + RawTarget::Head(request) + row.mFraming;
          headSize = head.size();
          co_await aConnection.Write(head.substr(0, cut));
          if (isReset) {
            co_await aConnection.Pause(1ms);
            aConnection.Reset();
          }
          co_return;
        }
      },
      [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
        RegisterOften(aFixture, aTarget, 2500);
        co_await aFixture.Pause(800ms);
        int n = 0;
        for (cut = 0; cut < headSize; ++cut) {
          for (int variant = 0; variant < 8; ++variant) {
            isReset = variant % 2 == 1;
            const bool isKept = variant / 2 % 2 == 1;
            const bool isSafe = variant / 4 == 1;
            CAPTURE(cut);
            CAPTURE(isReset);
            CAPTURE(isKept);
            CAPTURE(isSafe);
            const std::string number = std::to_string(1000 + ++n);
            if (isKept) {
              co_await Ask(aFixture,
                           GatewayFixture::Request(
                             http::verb::get, "/once/w", "whole-" + number));
            }
            const std::string id = "id-" + number;
            auto request = GatewayFixture::Request(
              http::verb::get, (isSafe ? "/safe/" : "/once/") + number, id);
            request.set(http::field::cookie, "X-Affinity-Key=" + number);
            const auto outcome = co_await Ask(aFixture, std::move(request));
            CHECK(outcome.mStatus == 502);
            CHECK(received[id] >= 1);
            CHECK((isSafe || received[id] == 1));
          }
        }
        CHECK(cut == headSize);
      });
  }
}
