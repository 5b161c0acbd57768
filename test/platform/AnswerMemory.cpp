#include "RawTargetFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

/// Leaves less memory for answers than the first part of one takes.
constexpr uint64_t kMemoryBytes = 64 * 1024;
constexpr size_t kPartBytes = 20'000;

enum class End
{
  Whole,
  Closed,
  Reset,
};

} // namespace

// Guards against a part of an answer that is taken for the whole, and against a
// whole answer that is cut, when the memory for answers is used up and an
// answer is passed on before its target has sent all of it.
TEST_CASE("an answer without memory for its first part is passed on whole")
{
  struct Row
  {
    std::string mFraming;
    std::string mAfter;
    End mEnd;
    bool mIsComplete;
  };
  const std::string length = "Content-Length: 20000\r\n\r\n";
  const std::string longer = "Content-Length: 20001\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n4e20\r\n";
  const Row rows[] = {
    { length, "", End::Whole, true },
    { chunked, "\r\n0\r\n\r\n", End::Whole, true },
    { "\r\n", "", End::Closed, true },
    { longer, "", End::Closed, false },
    { longer, "", End::Reset, false },
    { chunked, "\r\n", End::Closed, false },
    { chunked, "\r\n", End::Reset, false },
    { "\r\n", "", End::Reset, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFraming);
    CAPTURE(int(row.mEnd));
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        const std::string request = co_await aConnection.ReadRequest();
        if (request.empty()) {
          co_return;
        }
        co_await aConnection.Write(RawTarget::Head(request) + row.mFraming +
                                   std::string(kPartBytes, 'b') + row.mAfter);
        co_await aConnection.Pause(50ms);
        if (row.mEnd == End::Reset) {
          aConnection.Reset();
        } else if (row.mEnd == End::Whole) {
          // The gateway keeps the connection.
          co_await aConnection.ReadRequest();
        }
      },
      [&](GatewayFixture& aFixture, RawTarget&) -> Awaitable<void> {
        const auto outcome = co_await Ask(
          aFixture, GatewayFixture::Request(http::verb::get, "/once/a"));
        CHECK(outcome.mStatus == 200);
        CHECK(outcome.mIsComplete == row.mIsComplete);
        CHECK((!row.mIsComplete || outcome.mBytes == kPartBytes));
      },
      kMemoryBytes);
  }
}
