#include "RawTargetFixture.h"

#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

/// Longer answers are passed on in pieces.
constexpr size_t kBufferedAnswerBytes = 256 * 1024;

std::string Line(const std::string& aName, const std::string& aValue)
{
  return aName + ":" + aValue + "\r\n";
}

} // namespace

// Guards against a caller that gets an answer whose head or trailer holds bytes
// that no field may have: the line would be passed on, or hide the field that
// tells the length of the body.
TEST_CASE("an answer with a malformed field is not passed on")
{
  using namespace std::string_literals;
  std::vector<std::string> lines;
  for (const std::string& name : { "X A"s,
                                   "X\tA"s,
                                   "X\0A"s,
                                   "X\x01"s + "A",
                                   "X\x0b"s + "A",
                                   "X\x7f"s + "A",
                                   "X\x80"s + "A",
                                   "X(A"s,
                                   "X-A "s,
                                   " X-A"s,
                                   ""s }) {
    lines.push_back(Line(name, " b"));
  }
  for (const std::string& value : { "a\0b"s, "a\x01"s + "b", "a\rb"s }) {
    lines.push_back(Line("X-A", " " + value));
  }
  struct Row
  {
    std::string mStatus;
    std::string mHeadLine;
    std::string mFraming;
    std::string mBody;
  };
  const std::string length = Line("Content-Length", " 4") + "\r\n";
  const std::string chunked = Line("Transfer-Encoding", " chunked") + "\r\n";
  std::vector<Row> rows;
  for (const std::string status : { "200", "404", "503" }) {
    for (const auto& it : lines) {
      rows.push_back({ status, it, length, "body" });
      rows.push_back(
        { status, {}, chunked, "4\r\nbody\r\n0\r\n" + it + "\r\n" });
    }
    rows.push_back({ status, Line("Content-Length ", " 4"), "\r\n", "body" });
    rows.push_back({ status,
                     Line("X-A", " b") + Line("\tContent-Length", " 4"),
                     "\r\n",
                     "body and more" });
    rows.push_back(
      { status,
        Line("Content-Length", " 4") + Line("Content-Length", " 2"),
        "\r\n",
        "body" });
    rows.push_back({ status,
                     Line("Content-Length", " 4"),
                     chunked,
                     "4\r\nbody\r\n0\r\n\r\n" });
    rows.push_back({ status,
                     {},
                     chunked,
                     "aae60\r\n" + std::string(0xaae60, 'b') + "\r\n0\r\n" +
                       Line("X A", " b") + "\r\n" });
  }
  const Row* row = nullptr;
  std::map<std::string, int> received;
  RunWithRawTarget(
    [&](Connection& aConnection) -> Awaitable<void> {
      const std::string request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      const std::string id = RawTarget::Field(request, "X-Request-Id");
      ++received[id];
      co_await aConnection.Write("HTTP/1.1 " + row->mStatus +
                                 " Reason\r\nX-Request-Id: " + id +
                                 "\r\nX-Server-Signature: signature\r\n" +
                                 row->mHeadLine + row->mFraming + row->mBody);
      co_await aConnection.Pause(20ms);
    },
    [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
      RegisterOften(aFixture, aTarget, 600);
      co_await aFixture.Pause(800ms);
      for (const auto& it : rows) {
        for (const std::string path : { "/safe/", "/once/" }) {
          row = &it;
          CAPTURE(it.mStatus);
          CAPTURE(it.mHeadLine);
          CAPTURE(it.mBody.substr(0, 40));
          CAPTURE(path);
          const std::string id = "id-" + std::to_string(received.size());
          auto request =
            GatewayFixture::Request(http::verb::get, path + id, id);
          request.set(http::field::cookie, "X-Affinity-Key=" + id);
          const auto outcome = co_await Ask(aFixture, std::move(request));
          if (it.mBody.size() < kBufferedAnswerBytes) {
            CHECK(outcome.mStatus == 502);
          } else {
            // Passed on in pieces, it ends without its last one.
            CHECK((outcome.mStatus == 502 || !outcome.mIsComplete));
          }
          CHECK(received[id] >= 1);
          CHECK((path == "/safe/" || received[id] == 1));
        }
      }
    });
}

// Guards against a sound answer that is refused because of where its bytes are
// split on their way, or because its body begins like a folded field, and
// against a folded field that is not seen for the same reason.
TEST_CASE("a header is read alike wherever it is split")
{
  for (const bool isFolded : { false, true }) {
    CAPTURE(isFolded);
    size_t split = 0;
    size_t size = 1;
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        for (;;) {
          const std::string request = co_await aConnection.ReadRequest();
          if (request.empty()) {
            co_return;
          }
          const std::string answer =
            RawTarget::Head(request) + Line("X-A", isFolded ? "\r\n b" : " b") +
            Line("Content-Length", " 6") + "\r\n\n b\n\tc";
          size = answer.size();
          co_await aConnection.Write(answer.substr(0, split));
          co_await aConnection.Pause(1ms);
          co_await aConnection.Write(answer.substr(split));
        }
      },
      [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
        RegisterOften(aFixture, aTarget, 400);
        co_await aFixture.Pause(800ms);
        for (; split < size; ++split) {
          CAPTURE(split);
          const std::string id = "id-" + std::to_string(1000 + split);
          auto request =
            GatewayFixture::Request(http::verb::get, "/once/" + id, id);
          request.set(http::field::cookie, "X-Affinity-Key=" + id);
          const auto outcome = co_await Ask(aFixture, std::move(request));
          CHECK(outcome.mStatus == (isFolded ? 502 : 200));
          CHECK((isFolded || outcome.mBodyStart == "\n b\n\tc"));
        }
      });
  }
}
