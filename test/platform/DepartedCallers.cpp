#include "GatewayFixture.h"
#include "HeaderNames.h"
#include "RelayFixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <list>
#include <thread>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

/// Time in which a request that is still sent on would reach its target.
constexpr Duration kSettleTime = 200ms;
/// Time after a caller's close by which the work for it has to end.
constexpr Duration kMaxWorkAfterClose = 500ms;

/// A target whose connections only the test reads, outside of the event loop,
/// so that bytes count as received from the moment at which they are sent.
class PlainTarget
{
public:
  explicit PlainTarget(asio::io_context& aIo)
    : mAcceptor(aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
    mAcceptor.non_blocking(true);
  }

  uint16_t Port() const { return mAcceptor.local_endpoint().port(); }

  /// Returns the number of received bytes that have not been read.
  size_t CountUnread()
  {
    AcceptAll();
    size_t out = 0;
    for (const auto& it : mSockets) {
      out += it.available();
    }
    return out;
  }

  /// Reads a request's head on the connection that has one.
  std::string ReadRequest()
  {
    AcceptAll();
    std::string out;
    for (auto& it : mSockets) {
      if (it.available() > 0) {
        mLast = &it;
        out.resize(it.available());
        out.resize(it.read_some(asio::buffer(out)));
        break;
      }
    }
    return out;
  }

  /// Answers on the connection from which a request was read last.
  void Answer(const std::string& aRequest)
  {
    std::string answer = RawTarget::Answer(aRequest, "answer");
    const std::string fields = std::string(header::kRelayResult) +
                               ": answer\r\n" + header::kRelayAttempts +
                               ": 1\r\n";
    answer.insert(answer.find("\r\n") + 2, fields);
    ErrorCode ec;
    asio::write(*mLast, asio::buffer(answer), ec);
  }

  /// Returns true if the gateway has closed the connection from which a request
  /// was read last.
  bool IsClosedByGateway()
  {
    char byte = 0;
    ErrorCode ec;
    mLast->non_blocking(true);
    mLast->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    mLast->non_blocking(false);
    return ec && ec != asio::error::would_block;
  }

  void CloseLast()
  {
    ErrorCode ec;
    mLast->close(ec);
    mSockets.remove_if([](const auto& aSocket) { return !aSocket.is_open(); });
  }

private:
  void AcceptAll()
  {
    for (;;) {
      ErrorCode ec;
      tcp::socket socket(mAcceptor.get_executor());
      mAcceptor.accept(socket, ec);
      if (ec) {
        return;
      }
      socket.non_blocking(false);
      mSockets.push_back(std::move(socket));
    }
  }

  tcp::acceptor mAcceptor;
  std::list<tcp::socket> mSockets;
  tcp::socket* mLast = nullptr;
};

/// A caller that connects, sends and closes at once, outside of the event loop.
class PlainCaller
{
public:
  PlainCaller(asio::io_context& aIo,
              const std::string& aAddress,
              uint16_t aPort)
    : mSocket(aIo)
  {
    mSocket.connect({ asio::ip::make_address(aAddress), aPort });
    mSocket.set_option(tcp::no_delay(true));
  }

  void Send(const std::string& aBytes)
  {
    asio::write(mSocket, asio::buffer(aBytes));
  }
  void Close() { mSocket.close(); }
  bool HasAnswer() { return mSocket.available() > 0; }
  void DiscardAnswer()
  {
    std::string buf(mSocket.available(), ' ');
    mSocket.read_some(asio::buffer(buf));
  }

private:
  tcp::socket mSocket;
};

/// Returns a request's bytes.
std::string Bytes(const std::string& aPath,
                  const std::string& aFields = {},
                  const std::string& aBody = {})
{
  const std::string length =
    aBody.empty() ? ""
                  : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  return (aBody.empty() ? "GET " : "POST ") + aPath +
         " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + aPath.substr(6) +
         "\r\nAuthorization: Bearer key-1\r\n" + aFields + length + "\r\n" +
         aBody;
}

const std::string kRelayFields = std::string(header::kRelayService) +
                                 ": s\r\n" + header::kRelayAttempts + ": 2\r\n";

/// How a request comes to the instance under test, and where it sends it.
enum class Path
{
  CallerToTarget,
  CallerToInstance,
  InstanceToTarget,
};

/// An instance with targets, or other instances, that the test reads itself.
class DepartureFixture
{
public:
  explicit DepartureFixture(Path aPath, size_t aTargets = 1)
    : mPath(aPath)
  {
    for (size_t n = 0; n < aTargets; ++n) {
      mTargets.push_back(std::make_unique<PlainTarget>(mIo));
    }
    mInstance.emplace(mIo, 2, mTargets[0]->Port());
    mInstance->Configure(RelayFixture::Configuration());
    for (size_t n = 0; n < aTargets; ++n) {
      mInstance->AddTarget("i-" + std::to_string(n), mTargets[n]->Port());
    }
    if (mPath == Path::CallerToInstance) {
      mInstance->mUsesDirectPath = false;
      mInstance->mCandidates = { RelayFixture::Candidate(1, 0) };
    }
  }

  PlainCaller Connect()
  {
    return { mIo,
             mInstance->mSettings.mAddress,
             mPath == Path::InstanceToTarget
               ? mInstance->mSettings.mRelayPort
               : mInstance->mFrontend.Server().Port() };
  }

  std::string Request(const std::string& aPath, const std::string& aBody = {})
  {
    return Bytes(
      aPath, mPath == Path::InstanceToTarget ? kRelayFields : "", aBody);
  }

  Awaitable<void> Pause(Duration aTime)
  {
    asio::steady_timer timer(mIo, aTime);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }

  /// Lets the event loop run all handlers that are ready, that many times.
  Awaitable<void> RunRounds(int aRounds)
  {
    for (int n = 0; n < aRounds; ++n) {
      co_await asio::post(mIo, asio::use_awaitable);
    }
  }

  template<typename Condition>
  Awaitable<void> Until(Condition aCondition)
  {
    for (int n = 0; n < 500 && !aCondition(); ++n) {
      co_await Pause(5ms);
    }
    REQUIRE(aCondition());
  }

  size_t CountUnread()
  {
    size_t out = 0;
    for (const auto& it : mTargets) {
      out += it->CountUnread();
    }
    return out;
  }

  /// Returns the target that has got a request.
  Awaitable<PlainTarget*> Receiver()
  {
    co_await Until([&] { return CountUnread() > 0; });
    for (const auto& it : mTargets) {
      if (it->CountUnread() > 0) {
        co_return it.get();
      }
    }
    co_return nullptr;
  }

  /// Serves one request, which leaves an idle connection to a target. Returns
  /// the target.
  Awaitable<PlainTarget*> Serve(PlainCaller& aCaller)
  {
    // Requests with the same id go to the same target.
    aCaller.Send(Request("/safe/" + std::to_string(++mServed)));
    auto* target = co_await Receiver();
    target->Answer(target->ReadRequest());
    co_await Until([&] { return aCaller.HasAnswer(); });
    aCaller.DiscardAnswer();
    co_return target;
  }

  Path mPath;
  int mServed = 0;
  asio::io_context mIo;
  std::vector<std::unique_ptr<PlainTarget>> mTargets;
  std::optional<RelayInstance> mInstance;
};

} // namespace

// Guards against a request that is sent on although its caller's close was in
// the socket before, because the event loop had not read it yet.
TEST_CASE("a request whose caller has closed is not sent on")
{
  struct Row
  {
    const char* mCase;
    Path mPath;
    bool mHasIdleConnection;
    bool mHasOpenCaller;
    std::string mBody;
  };
  const Row rows[] = {
    { "new caller, idle connection to the target",
      Path::CallerToTarget,
      true,
      false,
      "" },
    { "new caller, new connection to the target",
      Path::CallerToTarget,
      false,
      false,
      "" },
    { "open caller, idle connection to the target",
      Path::CallerToTarget,
      true,
      true,
      "" },
    { "open caller with a body, idle connection to the target",
      Path::CallerToTarget,
      true,
      true,
      "body" },
    { "relayed by this instance, idle connection to the other one",
      Path::CallerToInstance,
      true,
      true,
      "" },
    { "relayed by this instance, new connection to the other one",
      Path::CallerToInstance,
      false,
      false,
      "" },
    { "relayed to this instance, idle connection to the target",
      Path::InstanceToTarget,
      true,
      true,
      "" },
    { "relayed to this instance, new connection to the target",
      Path::InstanceToTarget,
      false,
      false,
      "" },
  };
  // The number of rounds of the event loop between the request and the close.
  constexpr int kMaxRounds = 12;
  for (const auto& row : rows) {
    for (int rounds = 0; rounds <= kMaxRounds; ++rounds) {
      CAPTURE(std::string(row.mCase));
      CAPTURE(rounds);
      DepartureFixture fixture(row.mPath);
      RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
        auto caller = fixture.Connect();
        if (row.mHasIdleConnection) {
          co_await fixture.Serve(caller);
        }
        if (!row.mHasOpenCaller) {
          caller = fixture.Connect();
        }
        caller.Send(fixture.Request("/safe/second", row.mBody));
        co_await fixture.RunRounds(rounds);
        caller.Close();
        const size_t sentBeforeClose = fixture.CountUnread();
        co_await fixture.Pause(kSettleTime);
        CHECK(fixture.CountUnread() == sentBeforeClose);
      });
    }
  }
}

// Guards against a second attempt for a caller whose close was in the socket
// when the first attempt failed.
TEST_CASE("a request whose caller has closed is not sent once more")
{
  for (const bool callerClosesFirst : { false, true }) {
    CAPTURE(callerClosesFirst);
    DepartureFixture fixture(Path::CallerToTarget, 2);
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      // Requests in flight at the same time go to both targets.
      std::list<PlainCaller> others;
      const auto isIdle = [](const auto& aTarget) {
        return aTarget->CountUnread() == 0;
      };
      while (
        others.size() < 16 &&
        std::any_of(fixture.mTargets.begin(), fixture.mTargets.end(), isIdle)) {
        others.push_back(fixture.Connect());
        others.back().Send(
          fixture.Request("/safe/" + std::to_string(others.size())));
        co_await fixture.Pause(10ms);
      }
      for (const auto& it : fixture.mTargets) {
        REQUIRE_FALSE(isIdle(it));
        while (!isIdle(it)) {
          it->Answer(it->ReadRequest());
        }
      }
      co_await fixture.Pause(50ms);
      auto caller = fixture.Connect();
      caller.Send(fixture.Request("/safe/second"));
      auto* target = co_await fixture.Receiver();
      target->ReadRequest();
      if (callerClosesFirst) {
        caller.Close();
      }
      target->CloseLast();
      if (!callerClosesFirst) {
        caller.Close();
      }
      co_await fixture.Pause(kSettleTime);
      CHECK(fixture.CountUnread() == 0);
    });
  }
}

// Guards against a close that is not noticed because bytes of the caller's next
// request lie before it.
TEST_CASE("a close behind the next request ends the work for both")
{
  struct Row
  {
    const char* mCase;
    bool mIsNextSentAtOnce;
    Path mPath;
  };
  const Row rows[] = {
    { "both requests in one segment", true, Path::CallerToTarget },
    { "next request during the first", false, Path::CallerToTarget },
    { "both relayed, in one segment", true, Path::InstanceToTarget },
    { "both relayed, next during the first", false, Path::InstanceToTarget },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mCase));
    DepartureFixture fixture(row.mPath);
    RunCoroutine(fixture.mIo, [&]() -> Awaitable<void> {
      auto caller = fixture.Connect();
      const std::string first = fixture.Request("/safe/first");
      const std::string next = fixture.Request("/safe/next");
      caller.Send(row.mIsNextSentAtOnce ? first + next : first);
      auto* target = co_await fixture.Receiver();
      const std::string received = target->ReadRequest();
      if (!row.mIsNextSentAtOnce) {
        caller.Send(next);
        co_await fixture.Pause(20ms);
      }
      caller.Close();
      const TimePoint closedAt = SteadyNow();
      while (!target->IsClosedByGateway() &&
             SteadyNow() - closedAt < kMaxWorkAfterClose) {
        co_await fixture.Pause(5ms);
      }
      CHECK_MESSAGE(target->IsClosedByGateway(),
                    "the target still works on the first request");
      target->Answer(received);
      co_await fixture.Pause(kSettleTime);
      CHECK_MESSAGE(fixture.CountUnread() == 0,
                    "the next request is sent to the target");
    });
  }
}

// Guards against a caller's time that is counted from the moment at which the
// event loop reads its request, not from the request's arrival.
TEST_CASE("a request whose time ran out before it was read is not sent on")
{
  constexpr auto kBlockedTime = 300ms;
  struct Row
  {
    const char* mCase;
    bool mHasOpenCaller;
    int mTimeLeftMs;
    bool mIsSent;
  };
  const Row rows[] = {
    { "open caller, time is over", true, 100, false },
    { "new caller, time is over", false, 100, false },
    { "open caller, time is left", true, 900, true },
    { "new caller, time is left", false, 900, true },
  };
  GatewayFixture fixture(0);
  PlainTarget target(fixture.mIo);
  fixture.mStoreServer.Set("config", "main", fixture.Configuration("00000005"));
  fixture.mStoreServer.Set(
    "servers",
    "i-0",
    { { "service", "s" },
      { "address", "127.0.0.1:" + std::to_string(target.Port()) },
      { "zone", "z" },
      { "version", "v1" },
      { "slots", 4 },
      { "state", "ready" },
      { "coldRemainingS", 0 },
      { "sequence", 1 } });
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    for (const auto& row : rows) {
      CAPTURE(std::string(row.mCase));
      const auto connect = [&]() -> PlainCaller {
        return { fixture.mIo, "127.0.0.1", fixture.mServer->CallerPort() };
      };
      auto caller = connect();
      caller.Send(Bytes("/safe/first"));
      co_await fixture.Until([&] { return target.CountUnread() > 0; });
      target.Answer(target.ReadRequest());
      co_await fixture.Until([&] { return caller.HasAnswer(); });
      caller.DiscardAnswer();
      // Lets the event loop become punctual again.
      co_await fixture.Pause(150ms);
      if (!row.mHasOpenCaller) {
        caller = connect();
      }
      const std::string timeLeft =
        "X-Deadline-Ms: " + std::to_string(row.mTimeLeftMs) + "\r\n";
      caller.Send(Bytes("/safe/second", timeLeft));
      std::this_thread::sleep_for(kBlockedTime);
      co_await fixture.Pause(kSettleTime);
      const std::string received = target.ReadRequest();
      CHECK(received.empty() == !row.mIsSent);
      if (!received.empty()) {
        target.Answer(received);
      }
    }
  });
}
