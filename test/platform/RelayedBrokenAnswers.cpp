#include "CallerView.h"
#include "EndlessAnswers.h"
#include "RelayFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

/// More than the socket buffers of a connection hold, so that the request is
/// still being written when the answer ends.
constexpr size_t kLongUploadBytes = 12'000'000;
/// The fixture's routes time out after one second; half a second later the
/// caller must have its answer.
constexpr Duration kMaxAnswerTime = 1500ms;
/// A caller needs some time of its own to read a longer answer from its socket,
/// when both instances have closed their connections.
constexpr size_t kReadAtOnceBytes = 1024 * 1024;
/// Maximum memory for one answer that has no end, in KiB: for each of the two
/// instances the answer's first part, the buffers of two connections, and those
/// of the kernel.
constexpr uint64_t kMaxMemoryGrowth = 2 * 16 * 1024;

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

// Guards against a part of an answer that reaches a caller as the whole through
// another instance: a reset cuts it while an upload is still being written to
// the target or to the other instance.
TEST_CASE("a relayed answer that a reset cuts is not complete")
{
  struct Row
  {
    bool mIsFromPeer;
    size_t mPartBytes;
  };
  const Row rows[] = {
    { false, 20'000 }, { false, 700'000 }, { true, 20'000 }, { true, 700'000 }
  };
  for (const auto& row : rows) {
    CAPTURE(row.mIsFromPeer);
    CAPTURE(row.mPartBytes);
    RelayFixture fixture;
    auto configuration = RelayFixture::Configuration();
    configuration["limits"]["maxBodyBytes"] = 2 * kLongUploadBytes;
    fixture.mFirst.Configure(configuration);
    fixture.mPeers[0]->Configure(configuration);
    int received = 0;
    const RawTarget::Script script =
      [&](Connection& aConnection) -> Awaitable<void> {
      const auto request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      ++received;
      std::string head = RawTarget::Head(request);
      if (row.mIsFromPeer) {
        head += "Pollenway-Relay-Result: answer\r\n"
                "Pollenway-Relay-Attempts: 1\r\n";
      }
      co_await aConnection.Write(head + "\r\n" +
                                 std::string(row.mPartBytes, 'b'));
      co_await aConnection.Pause(20ms);
      aConnection.Reset();
    };
    RawTarget target(fixture.mIo.get_executor(), script);
    if (row.mIsFromPeer) {
      fixture.mRawScript = script;
      fixture.UsePeers({ 1 });
    } else {
      fixture.mPeers[0]->AddTarget("i-0", target.Port());
    }
    fixture.Run([&]() -> Awaitable<void> {
      auto request = fixture.Request("/once/1");
      request.body() = std::string(kLongUploadBytes, 'u');
      const auto answer = co_await fixture.Exchange(std::move(request));
      // An answer that was passed on in pieces ends without its last one.
      CHECK((answer.result_int() == 502 || answer.result_int() == 0));
      CHECK(received == 1);
      target.Stop();
    });
  }
}

// Guards against bytes without end that hold a caller, a connection or memory
// at either instance: from the target, or from an instance that passes on what
// its target sends.
TEST_CASE("a relayed answer without end is ended at the route's timeout")
{
  for (const auto& row : EndlessAnswers()) {
    for (const bool isFromPeer : { false, true }) {
      CAPTURE(row.mFault);
      CAPTURE(isFromPeer);
      RelayFixture fixture;
      const RawTarget::Script script = [&](Connection& aConnection) {
        return SendForever(aConnection,
                           row,
                           isFromPeer ? "Pollenway-Relay-Result: answer\r\n"
                                      : "");
      };
      RawTarget target(fixture.mIo.get_executor(), script);
      if (isFromPeer) {
        fixture.mRawScript = script;
        fixture.UsePeers({ 1 });
      } else {
        fixture.mPeers[0]->AddTarget("i-0", target.Port());
      }
      const RawTarget& sender = isFromPeer ? fixture.mRawPeer : target;
      fixture.Run([&]() -> Awaitable<void> {
        const TimePoint begin = SteadyNow();
        const auto& first = fixture.mFirst;
        const auto outcome =
          co_await Ask(fixture.mIo.get_executor(),
                       { asio::ip::make_address(first.mSettings.mAddress),
                         first.mFrontend.Server().Port() },
                       fixture.Request("/once/1"));
        CHECK_FALSE((outcome.mStatus / 100 == 2 && outcome.mIsComplete));
        if (outcome.mBytes <= kReadAtOnceBytes) {
          CHECK(outcome.mTime <= kMaxAnswerTime);
        }
        CHECK(outcome.mMemoryGrowth <= kMaxMemoryGrowth);
        co_await fixture.Until([&] { return sender.mOpen == 0; });
        CHECK(sender.mClosedAt - begin <= kMaxAnswerTime);
        target.Stop();
      });
    }
  }
}
