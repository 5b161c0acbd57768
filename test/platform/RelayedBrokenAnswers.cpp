#include "RelayFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

} // namespace

// Guards against an answer without a valid status that reaches a caller through
// another instance: from the target behind it, or from an instance that passes
// on what its target sent.
TEST_CASE("a relayed answer without a valid status is not passed on")
{
  struct Row
  {
    std::string mStatus;
    bool mIsFromPeer;
  };
  const Row rows[] = { { "000", false }, { "101", false }, { "999", false },
                       { "000", true },  { "101", true },  { "999", true } };
  for (const auto& row : rows) {
    CAPTURE(row.mStatus);
    CAPTURE(row.mIsFromPeer);
    RelayFixture fixture;
    int received = 0;
    const RawTarget::Script script =
      [&](Connection& aConnection) -> Awaitable<void> {
      const auto request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      ++received;
      std::string head = "HTTP/1.1 " + row.mStatus +
                         " Reason\r\nX-Request-Id: id-1\r\n"
                         "X-Server-Signature: signature\r\n";
      if (row.mIsFromPeer) {
        head += "Pollenway-Relay-Result: answer\r\n"
                "Pollenway-Relay-Attempts: 1\r\n";
      }
      co_await aConnection.Write(head + "Content-Length: 4\r\n\r\nbody");
      co_await aConnection.Pause(100ms);
    };
    RawTarget target(fixture.mIo.get_executor(), script);
    if (row.mIsFromPeer) {
      fixture.mRawScript = script;
      fixture.UsePeers({ 1 });
    } else {
      fixture.mPeers[0]->AddTarget("i-0", target.Port());
    }
    fixture.Run([&]() -> Awaitable<void> {
      const auto answer = co_await fixture.Exchange(fixture.Request("/once/1"));
      CHECK(answer.result_int() == 502);
      CHECK(received == 1);
      target.Stop();
    });
  }
}
