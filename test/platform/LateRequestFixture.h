#pragma once

#include "GatewayFixture.h"
#include "Spawn.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pollenway {

/// How a request comes to a stopping gateway.
enum class Arrival
{
  /// On a connection on which a request was answered before the stop.
  KeptConnection,
  /// On a connection that is opened for it.
  NewConnection,
  /// The first byte and the rest of the header come apart.
  SplitHeader,
  /// The header and most of the body come before the rest of the body.
  SplitBody,
  /// Directly behind another request on the same connection.
  Pipelined,
};

/// A request to a gateway, relative to its SIGTERM, and its work at the target.
struct LateRequest
{
  std::string mPath;
  Arrival mArrival = Arrival::KeptConnection;
  /// When it is sent, or its first part.
  Duration mSentAt{};
  /// When the second part is sent, if there is one.
  Duration mRestAt{};
  Duration mWork{};
  size_t mAnswerBytes = 20;
  /// If set, the first target turns the request away after this time.
  Duration mShedAfter{};
};

/// What became of a request.
struct LateOutcome
{
  /// 0 if there was no complete answer.
  unsigned mStatus = 0;
  std::string mCode;
  bool mHasRetryAfter = false;
  /// Time from the stop until the answer was complete or the connection ended.
  Duration mEndedAt{};
  /// Number of times that a target began to work on it, turned it away, and
  /// completed it.
  size_t mStarts = 0;
  size_t mSheds = 0;
  size_t mCompletions = 0;
  /// Number of times that a target stopped work because the time that it was
  /// given was over, or because the connection was closed.
  size_t mExpiries = 0;
  size_t mBreaks = 0;
};

/// A gateway that is stopped while requests arrive. The targets and the callers
/// have their own threads, so that they go on while the gateway's is held up.
class LateRequestFixture
{
public:
  explicit LateRequestFixture(Duration aGrace)
    : mGateway(0)
  {
    mGateway.mSettings.mBounds.mStopGrace = aGrace;
    auto configuration = mGateway.Configuration("00000006");
    for (auto& route : configuration["routes"]) {
      route["timeoutS"] = 20;
    }
    configuration["routes"].push_back({ { "name", "upload" },
                                        { "host", "a.example" },
                                        { "pathPrefix", "/upload/" },
                                        { "type", "upload" },
                                        { "timeoutS", 20 },
                                        { "aimS", 0.2 },
                                        { "service", "s" },
                                        { "maxAttempts", 2 } });
    configuration["limits"]["headerTimeoutS"] = 20;
    mGateway.mStoreServer.Set("config", "main", configuration);
    for (int n = 0; n < kTargets; ++n) {
      auto& it = mTargets.emplace_back(
        std::make_unique<TargetStandIn>(mTargetIo.get_executor()));
      REQUIRE(it->Listen());
      it->mBehaviour = [this](HttpConnection& aConnection,
                              const TargetStandIn::ReceivedRequest& aRequest) {
        return Work(aConnection, aRequest);
      };
      mGateway.mStoreServer.Set(
        "servers",
        "i-" + std::to_string(n),
        { { "service", "s" },
          { "address", "127.0.0.1:" + std::to_string(it->Port()) },
          { "zone", "z" },
          { "version", "v1" },
          { "slots", 100 },
          { "state", "ready" },
          { "coldRemainingS", 0 },
          { "sequence", 1 } });
    }
  }

  /// Holds up the gateway's thread between two times after the stop.
  void HoldUp(Duration aFrom, Duration aUntil)
  {
    mHeldUp.push_back({ aFrom, aUntil });
  }

  /// Runs the gateway until its process would end, and returns what became of
  /// the requests, in their order.
  std::vector<LateOutcome> Run(std::vector<LateRequest> aRequests)
  {
    mRequests = std::move(aRequests);
    mOutcomes.resize(mRequests.size());
    auto& io = mGateway.mIo;
    mGateway.mServer.emplace(
      io, mGateway.mSettings, *mGateway.mStore, mGateway.mPlatform);
    REQUIRE(mGateway.mServer->Start());
    mCallerPort = mGateway.mServer->CallerPort();
    auto targetWork = asio::make_work_guard(mTargetIo);
    std::thread targets([&] { mTargetIo.run(); });
    std::thread callers;
    asio::co_spawn(
      io,
      [&]() -> Awaitable<void> {
        co_await mGateway.Until([&] { return mGateway.mServer->IsReady(); });
        mStopAt = SteadyNow() + kPreparation;
        callers = std::thread([&] { RunCallers(); });
        co_await PauseUntil(io, mStopAt);
        for (const auto& it : mHeldUp) {
          Spawn(io, HoldUpLoop(it));
        }
        mGateway.mServer->Stop();
        // Neither a second signal to stop nor one to read the settings again
        // changes a stop.
        co_await PauseUntil(
          io, mStopAt + mGateway.mSettings.mBounds.mStopGrace / 4);
        mGateway.mServer->Stop();
        auto settings = mGateway.mSettings;
        settings.mBounds.mStopGrace = kLongTime;
        mGateway.mServer->Reload(settings);
      },
      [](std::exception_ptr) {});
    io.run_for(kLongTime);
    CHECK(io.stopped());
    mStoppedAfter = SteadyNow() - mStopAt;
    callers.join();
    asio::post(mTargetIo, [&] {
      for (const auto& it : mTargets) {
        it->Server().Abort();
      }
      targetWork.reset();
    });
    mTargetIo.stop();
    targets.join();
    return mOutcomes;
  }

  Duration StoppedAfter() const { return mStoppedAfter; }

private:
  struct Span
  {
    Duration mFrom{};
    Duration mUntil{};
  };

  static constexpr int kTargets = 2;
  /// Time before the stop in which connections are prepared.
  static constexpr Duration kPreparation = std::chrono::milliseconds(500);
  /// Time for which callers wait after the end of the grace.
  static constexpr Duration kTimeAfterGrace = std::chrono::milliseconds(500);
  static constexpr Duration kLongTime = std::chrono::seconds(20);

  static Awaitable<void> PauseUntil(asio::io_context& aIo, TimePoint aTime)
  {
    asio::steady_timer timer(aIo, aTime - SteadyNow());
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }

  Awaitable<void> HoldUpLoop(Span aSpan)
  {
    co_await PauseUntil(mGateway.mIo, mStopAt + aSpan.mFrom);
    std::this_thread::sleep_for(mStopAt + aSpan.mUntil - SteadyNow());
  }

  /// Works as a target does: until the end of the work, of the time that it was
  /// given or of the connection.
  Awaitable<bool> Work(HttpConnection& aConnection,
                       const TargetStandIn::ReceivedRequest& aRequest)
  {
    const std::string id(aRequest.mHeader["X-Request-Id"]);
    const size_t index =
      id.starts_with("late-") ? std::stoul(id.substr(5)) : mRequests.size();
    if (index >= mRequests.size()) {
      co_return false;
    }
    auto& outcome = mOutcomes[index];
    ++outcome.mStarts;
    const auto given = std::chrono::milliseconds(
      std::stoi(std::string(aRequest.mHeader["X-Deadline-Ms"])));
    const auto& request = mRequests[index];
    const bool isShed =
      outcome.mSheds == 0 && request.mShedAfter > Duration::zero();
    const Duration time = isShed ? request.mShedAfter : request.mWork;
    const bool isExpired = given < time;
    bool isOpen = true;
    asio::steady_timer timer(mTargetIo, isExpired ? Duration(given) : time);
    aConnection.WatchDisconnect([&] {
      isOpen = false;
      timer.cancel();
    });
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    if (!isOpen) {
      ++outcome.mBreaks;
      co_return false;
    }
    if (isShed && !isExpired) {
      --outcome.mStarts;
      ++outcome.mSheds;
      auto answer =
        TargetStandIn::Answer(aRequest, http::status::service_unavailable);
      answer.set("X-Not-Executed", "full");
      co_await aConnection.Write(std::move(answer));
      co_return true;
    }
    ++(isExpired ? outcome.mExpiries : outcome.mCompletions);
    auto answer = TargetStandIn::Answer(
      aRequest, isExpired ? http::status::gateway_timeout : http::status::ok);
    answer.body() = std::string(request.mAnswerBytes, 'a');
    co_await aConnection.Write(std::move(answer));
    co_return true;
  }

  void RunCallers()
  {
    asio::io_context io;
    for (size_t n = 0; n < mRequests.size(); ++n) {
      asio::co_spawn(io, Call(io, n), [](std::exception_ptr aException) {
        if (aException) {
          std::rethrow_exception(aException);
        }
      });
    }
    io.run_for(kPreparation + mGateway.mSettings.mBounds.mStopGrace +
               kTimeAfterGrace);
  }

  static std::string Text(const std::string& aPath,
                          const std::string& aId,
                          size_t aBodyBytes)
  {
    return (aBodyBytes > 0 ? "POST " : "GET ") + aPath +
           " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + aId +
           "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\n" +
           (aBodyBytes > 0
              ? "Content-Length: " + std::to_string(aBodyBytes) + "\r\n"
              : std::string()) +
           "\r\n" + std::string(aBodyBytes, 'x');
  }

  Awaitable<ErrorCode> Send(tcp::socket& aSocket, std::string aBytes)
  {
    ErrorCode ec;
    co_await asio::async_write(aSocket, asio::buffer(aBytes), Into(ec));
    co_return ec;
  }

  struct ReadAnswer
  {
    unsigned mStatus = 0;
    std::string mCode;
    bool mHasRetryAfter = false;
  };

  static Awaitable<ReadAnswer> Read(tcp::socket& aSocket,
                                    beast::flat_buffer& aBuffer)
  {
    http::response<http::string_body> answer;
    ErrorCode ec;
    co_await http::async_read(aSocket, aBuffer, answer, Into(ec));
    if (ec) {
      co_return ReadAnswer{};
    }
    co_return ReadAnswer{ answer.result_int(),
                          std::string(answer["Pollenway-Code"]),
                          !answer[http::field::retry_after].empty() };
  }

  Awaitable<void> Call(asio::io_context& aIo, size_t aIndex)
  {
    const auto& request = mRequests[aIndex];
    auto& outcome = mOutcomes[aIndex];
    const std::string id = "late-" + std::to_string(aIndex);
    const bool isUpload = request.mPath.starts_with("/upload/") ||
                          request.mArrival == Arrival::SplitBody;
    const std::string bytes =
      Text(request.mPath, id, isUpload ? 10'000 : size_t(0));
    const std::string other = Text("/safe/other", "other-" + id, 0);
    const bool isKept = request.mArrival == Arrival::KeptConnection;
    const TimePoint sentAt = mStopAt + request.mSentAt;
    tcp::socket socket(aIo);
    beast::flat_buffer buffer;
    ErrorCode ec;
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 mCallerPort);
    if (!isKept) {
      co_await PauseUntil(aIo, sentAt);
    }
    co_await socket.async_connect(endpoint, Into(ec));
    if (isKept) {
      co_await Send(socket, other);
      co_await Read(socket, buffer);
      co_await PauseUntil(aIo, sentAt);
    }
    if (request.mArrival == Arrival::SplitHeader ||
        request.mArrival == Arrival::SplitBody) {
      const size_t first =
        request.mArrival == Arrival::SplitHeader ? 1 : bytes.size() - 1;
      co_await Send(socket, bytes.substr(0, first));
      co_await PauseUntil(aIo, mStopAt + request.mRestAt);
      co_await Send(socket, bytes.substr(first));
    } else if (request.mArrival == Arrival::Pipelined) {
      co_await Send(socket, other + bytes);
      co_await Read(socket, buffer);
    } else {
      co_await Send(socket, bytes);
    }
    const auto answer = co_await Read(socket, buffer);
    outcome.mStatus = answer.mStatus;
    outcome.mCode = answer.mCode;
    outcome.mHasRetryAfter = answer.mHasRetryAfter;
    outcome.mEndedAt = SteadyNow() - mStopAt;
  }

  GatewayFixture mGateway;
  asio::io_context mTargetIo;
  std::vector<std::unique_ptr<TargetStandIn>> mTargets;
  std::vector<Span> mHeldUp;
  std::vector<LateRequest> mRequests;
  std::vector<LateOutcome> mOutcomes;
  uint16_t mCallerPort = 0;
  TimePoint mStopAt{};
  Duration mStoppedAfter{};
};

} // namespace pollenway
