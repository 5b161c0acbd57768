#include "RawTargetFixture.h"

#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

std::string Refusal(const std::string& aId)
{
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         (aId.empty() ? std::string() : "X-Request-Id: " + aId + "\r\n") +
         "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

} // namespace

// Guards against a caller that is told that its request has not run, or a
// second target that runs it, because an earlier refusal arrives once more
// where the answer is expected.
TEST_CASE("a second copy of a refusal refuses no other request")
{
  enum class Arrival
  {
    BeforeRequest,
    AfterRequest,
    InTwoParts,
    Late,
  };
  struct Row
  {
    std::string mFault;
    Arrival mArrival;
    bool mHasId;
    bool mIsAnswered;
  };
  const Row rows[] = {
    { "while idle", Arrival::BeforeRequest, true, true },
    { "while idle, no id", Arrival::BeforeRequest, false, true },
    { "with the answer", Arrival::AfterRequest, true, true },
    { "with the answer, no id", Arrival::AfterRequest, false, true },
    { "in two parts", Arrival::InTwoParts, true, true },
    { "in two parts, no id", Arrival::InTwoParts, false, true },
    { "during the run", Arrival::Late, true, true },
    { "during the run, no id", Arrival::Late, false, true },
    { "and then closed", Arrival::AfterRequest, true, false },
    { "and then closed, no id", Arrival::AfterRequest, false, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFault);
    std::map<std::string, int> runs;
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        std::string copy;
        for (;;) {
          const std::string request = co_await aConnection.ReadRequest();
          if (request.empty()) {
            co_return;
          }
          const std::string id = RawTarget::Field(request, "X-Request-Id");
          if (id.starts_with("refused")) {
            copy = Refusal(row.mHasId ? id : std::string());
            co_await aConnection.Write(Refusal(id));
            if (row.mArrival == Arrival::BeforeRequest) {
              co_await aConnection.Pause(20ms);
              co_await aConnection.Write(copy);
              copy.clear();
            }
            continue;
          }
          ++runs[id];
          if (row.mArrival == Arrival::InTwoParts) {
            co_await aConnection.Write(copy.substr(0, copy.size() / 2));
            co_await aConnection.Pause(10ms);
            copy = copy.substr(copy.size() / 2);
          } else if (row.mArrival == Arrival::Late) {
            co_await aConnection.Pause(10ms);
            co_await aConnection.Write(copy);
            co_await aConnection.Pause(10ms);
            copy.clear();
          }
          if (!row.mIsAnswered) {
            co_await aConnection.Write(copy);
            co_return;
          }
          co_await aConnection.Write(copy +
                                     RawTarget::Answer(request, "for " + id));
          copy.clear();
        }
      },
      [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
        RegisterOften(aFixture, aTarget, 16);
        co_await aFixture.Pause(400ms);
        for (int n = 0; n < 8; ++n) {
          const std::string path = n % 2 == 0 ? "/safe/" : "/once/";
          CAPTURE(path);
          const std::string number = std::to_string(n);
          co_await Ask(aFixture,
                       GatewayFixture::Request(http::verb::get,
                                               "/once/r" + number,
                                               "refused-" + number));
          co_await aFixture.Pause(40ms);
          const std::string id = "id-" + number;
          const auto outcome = co_await Ask(
            aFixture,
            GatewayFixture::Request(http::verb::get, path + number, id));
          CAPTURE(n);
          CHECK((runs[id] <= 1 || path == "/safe/"));
          if (row.mIsAnswered) {
            CHECK(outcome.mStatus == 200);
            CHECK(outcome.mBodyStart == "for " + id);
            CHECK(runs[id] == 1);
          } else if (runs[id] > 0) {
            CHECK((outcome.mStatus == 502 || outcome.mStatus == 504));
          }
          co_await aFixture.Pause(20ms);
        }
      });
  }
}

// Guards against a request that is refused although it runs: a request that
// was refused at an address is sent there again under another target's name,
// and the second copy of the refusal carries the request's own id.
TEST_CASE("a refused request is sent to the same address on a new connection")
{
  for (const std::string path : { "/safe/a", "/once/a" }) {
    CAPTURE(path);
    int runs = 0;
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        std::string copy;
        for (;;) {
          const std::string request = co_await aConnection.ReadRequest();
          if (request.empty()) {
            co_return;
          }
          const std::string id = RawTarget::Field(request, "X-Request-Id");
          if (RawTarget::Field(request, "X-Target-Instance") != "i-0") {
            copy = "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id +
                   "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            co_await aConnection.Write(copy);
            continue;
          }
          ++runs;
          co_await aConnection.Write(copy + RawTarget::Answer(request, "ran"));
        }
      },
      [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
        RegisterOften(aFixture, aTarget, 2);
        co_await aFixture.Pause(400ms);
        for (int n = 0; n < 20; ++n) {
          CAPTURE(n);
          runs = 0;
          const std::string id = "id-" + std::to_string(n);
          auto request = GatewayFixture::Request(http::verb::get, path, id);
          request.set(http::field::cookie,
                      "X-Affinity-Key=" + std::to_string(n));
          const auto outcome = co_await Ask(aFixture, std::move(request));
          CHECK(outcome.mStatus == (runs > 0 ? 200 : 503));
          CHECK(runs <= 1);
          co_await aFixture.Pause(20ms);
        }
      });
  }
}
