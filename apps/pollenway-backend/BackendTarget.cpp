#include "BackendTarget.h"

#include "../JsonAnswer.h"
#include "Logger.h"
#include "RequestTarget.h"
#include "SteadyTime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/crc.hpp>

#include <algorithm>

namespace pollenway {

namespace {

constexpr size_t kBufferBytes = 64 * 1024;
constexpr size_t kMaxDrainTimes = 1000;
constexpr size_t kPatternBytes = 64 * 1024;
constexpr auto kMaxDisconnectWait = std::chrono::hours(24);

/// Returns the content of streamed answers. Byte i is 'a' + i % 16, so that a
/// caller can verify every byte.
const std::string& Pattern()
{
  static const std::string kPattern = [] {
    std::string text(kPatternBytes, ' ');
    for (size_t i = 0; i < text.size(); ++i) {
      text[i] = char('a' + i % 16);
    }
    return text;
  }();
  return kPattern;
}

void SetRequestId(TextResponse& aAnswer, const std::string& aRequestId)
{
  if (!aRequestId.empty()) {
    aAnswer.set("Pollenway-Request-Id", aRequestId);
  }
}

} // namespace

/// State of one request.
struct BackendTarget::Exchange
{
  explicit Exchange(const RequestHeader& aHeader)
    : mMethod(aHeader.method_string())
    , mPath(aHeader.target())
    , mTarget(RequestTarget::Parse(mPath))
    , mRequestId(FieldText(aHeader, "Pollenway-Request-Id"))
    , mWorkspace(FieldText(aHeader, "Pollenway-Workspace"))
    , mKey(FieldText(aHeader, "Idempotency-Key"))
    , mEcho(FieldText(aHeader, "X-Echo"))
    , mCrash(aHeader["X-Crash"] == "1")
    , mDeadlineMs(ParseNumber(FieldText(aHeader, "Pollenway-Deadline-Ms")))
  {
  }

  bool IsBytes() const
  {
    return mTarget.mSegments.size() == 2 && mTarget.mSegments[0] == "bytes" &&
           ParseNumber(mTarget.mSegments[1]).has_value();
  }

  std::string mMethod;
  std::string mPath;
  RequestTarget mTarget;
  std::string mRequestId;
  std::string mWorkspace;
  std::string mKey;
  std::string mEcho;
  bool mCrash = false;
  /// Remaining time in ms when the request was sent.
  std::optional<uint64_t> mDeadlineMs;
  uint64_t mBytes = 0;
  uint32_t mChecksum = 0;
  uint64_t mEpoch = 0;
  TimePoint mArrival;
};

BackendTarget::BackendTarget(asio::any_io_executor aExecutor,
                             Options aOptions,
                             ExecutionLog& aLog)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mLog(aLog)
  , mRandom(mOptions.mSeed)
{
}

Result<void> BackendTarget::Start()
{
  HttpLimits limits;
  limits.mKeepAliveTimeout = std::chrono::minutes(10);
  mServers.push_back(std::make_unique<HttpServer>(
    mExecutor, limits, [this](HttpConnection& aConnection) {
      return Handle(aConnection);
    }));
  mServer = mServers.back().get();
  mColdLeft = mOptions.mColdRequests;
  mDown = false;
  auto listening = mServer->Listen(mOptions.mAddress, mOptions.mPort);
  if (listening) {
    // A port that the system chose at the first start is reused after a crash.
    mOptions.mPort = mServer->Port();
  }
  return listening;
}

void BackendTarget::Stop()
{
  mStopping = true;
  ++mEpoch;
  for (const auto& it : mServers) {
    it->Abort();
  }
  for (auto* it : mTimers) {
    it->cancel();
  }
}

void BackendTarget::SetDraining(bool aDraining)
{
  if (aDraining && !mDraining) {
    mDrainingSince = SteadyNow();
  }
  mDraining = aDraining;
}

void BackendTarget::Reset()
{
  mColdLeft = mOptions.mColdRequests;
}

void BackendTarget::Crash()
{
  if (mDown) {
    return;
  }
  Log(LogLevel::Warn, "target_crashed", { { "target", mOptions.mName } });
  ++mCrashes;
  ++mEpoch;
  mDown = true;
  mSlotsInUse = 0;
  mUsedConnections.clear();
  mSilentConnections.clear();
  mServer->Abort();
  for (auto* it : mTimers) {
    it->cancel();
  }
  asio::co_spawn(mExecutor, Restart(), asio::detached);
}

Awaitable<void> BackendTarget::Restart()
{
  asio::steady_timer timer(mExecutor);
  co_await Wait(timer, mOptions.mRestartDelay);
  if (mStopping) {
    co_return;
  }
  auto started = Start();
  Log(started ? LogLevel::Info : LogLevel::Error,
      "target_restarted",
      { { "target", mOptions.mName },
        { "error", started ? "" : started.error().mDetail } });
}

void BackendTarget::SilenceConnections()
{
  for (const auto& it : mUsedConnections) {
    mSilentConnections.insert(it);
  }
}

void BackendTarget::RecordConnection(HttpConnection& aConnection)
{
  std::erase_if(mUsedConnections,
                [](const auto& aEntry) { return aEntry.second.expired(); });
  std::erase_if(mSilentConnections,
                [](const auto& aEntry) { return aEntry.second.expired(); });
  mUsedConnections[&aConnection] = aConnection.weak_from_this();
  mPeakConnections = std::max(mPeakConnections, mServer->Connections());
}

bool BackendTarget::IsSilent(HttpConnection& aConnection) const
{
  const auto it = mSilentConnections.find(&aConnection);
  return it != mSilentConnections.end() && !it->second.expired();
}

Awaitable<void> BackendTarget::Wait(asio::steady_timer& aTimer, Duration aTime)
{
  ErrorCode ec;
  aTimer.expires_after(aTime);
  mTimers.insert(&aTimer);
  co_await aTimer.async_wait(Into(ec));
  mTimers.erase(&aTimer);
}

Awaitable<void> BackendTarget::AwaitDisconnect(HttpConnection& aConnection)
{
  asio::steady_timer timer(mExecutor);
  aConnection.WatchDisconnect([&timer] { timer.cancel(); });
  co_await Wait(timer, kMaxDisconnectWait);
  aConnection.WatchDisconnect(nullptr);
}

void BackendTarget::ReleaseSlot()
{
  --mSlotsInUse;
}

Awaitable<void> BackendTarget::Handle(HttpConnection& aConnection)
{
  if (mDown || mStopping) {
    co_return;
  }
  if (mUsedConnections.find(&aConnection) == mUsedConnections.end() ||
      mUsedConnections[&aConnection].expired()) {
    RecordConnection(aConnection);
  }
  if (IsSilent(aConnection)) {
    co_await AwaitDisconnect(aConnection);
    co_return;
  }
  if (mServer->Connections() > mOptions.mConnections) {
    ++mRefusedConnections;
    co_return;
  }
  Exchange exchange(aConnection.Header());
  exchange.mEpoch = mEpoch;
  exchange.mArrival = SteadyNow();
  if (exchange.mPath == "/.backend/health") {
    co_await AnswerHealth(aConnection);
    co_return;
  }
  ++mRequests;
  if (aConnection.Header().count(http::field::authorization) > 0) {
    ++mWithAuthorization;
  }
  if (mDraining) {
    ++mAfterDrain;
    if (mAfterDrainMs.size() < kMaxDrainTimes) {
      mAfterDrainMs.push_back(
        uint64_t(ToSeconds(exchange.mArrival - mDrainingSince) * 1e3));
    }
  }
  if (mFaults.mFailing) {
    auto answer =
      ErrorAnswer(http::status::internal_server_error, "injected failure");
    SetRequestId(answer, exchange.mRequestId);
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  const bool isExpired = exchange.mDeadlineMs && *exchange.mDeadlineMs == 0;
  if (mSlotsInUse >= mOptions.mSlots || isExpired) {
    ++(isExpired ? mDeadlineExceeded : mShed);
    auto answer =
      ErrorAnswer(http::status::service_unavailable,
                  isExpired ? "deadline exceeded" : "all slots in use");
    answer.set("Pollenway-Not-Run", "1");
    SetRequestId(answer, exchange.mRequestId);
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  ++mSlotsInUse;
  mPeakSlots = std::max(mPeakSlots, mSlotsInUse);
  co_await Run(aConnection, exchange);
  if (exchange.mEpoch == mEpoch) {
    ReleaseSlot();
  }
}

Awaitable<void> BackendTarget::Run(HttpConnection& aConnection,
                                   Exchange& aExchange)
{
  if (!aExchange.mKey.empty()) {
    mLog.RecordArrival(aExchange.mWorkspace, aExchange.mKey);
  }
  if (!aConnection.IsBodyDone()) {
    co_await aConnection.SendContinue();
    std::vector<char> buf(kBufferBytes);
    boost::crc_32_type checksum;
    for (;;) {
      auto n = co_await aConnection.ReadSome(buf.data(), buf.size());
      if (!n) {
        ++mBrokenUploads;
        co_return;
      }
      if (n.value() == 0) {
        break;
      }
      checksum.process_bytes(buf.data(), n.value());
      aExchange.mBytes += n.value();
    }
    aExchange.mChecksum = checksum.checksum();
  }
  if (aExchange.mEpoch != mEpoch) {
    co_return;
  }
  ++mExecuted;
  if (!aExchange.mKey.empty()) {
    mLog.RecordExecution(aExchange.mWorkspace, aExchange.mKey);
  }
  if (aExchange.mCrash) {
    Crash();
    co_return;
  }
  Duration time = mOptions.mServiceTime.Draw(mRandom);
  time = FromSeconds(ToSeconds(time) * mFaults.mSlowdown);
  if (mColdLeft > 0) {
    --mColdLeft;
    time = FromSeconds(ToSeconds(time) * mOptions.mColdFactor);
  }
  bool exceedsDeadline = false;
  if (aExchange.mDeadlineMs) {
    const Duration left = aExchange.mArrival +
                          std::chrono::milliseconds(std::min<uint64_t>(
                            *aExchange.mDeadlineMs, 86'400'000)) -
                          SteadyNow();
    exceedsDeadline = left < time;
    time = std::min(time, std::max(left, Duration::zero()));
  }
  asio::steady_timer timer(mExecutor);
  bool closed = false;
  aConnection.WatchDisconnect([&] {
    closed = true;
    timer.cancel();
  });
  co_await Wait(timer, time);
  if (!closed && aExchange.mEpoch == mEpoch &&
      mFaults.mAnswerDelay > Duration::zero()) {
    co_await Wait(timer, mFaults.mAnswerDelay);
    exceedsDeadline = false;
  }
  aConnection.WatchDisconnect(nullptr);
  if (aExchange.mEpoch != mEpoch) {
    co_return;
  }
  if (closed) {
    ++mCancelled;
    co_return;
  }
  if (IsSilent(aConnection)) {
    co_await AwaitDisconnect(aConnection);
    co_return;
  }
  if (exceedsDeadline) {
    ++mDeadlineExceeded;
    auto answer = ErrorAnswer(http::status::gateway_timeout,
                              "stopped at the request's deadline");
    SetRequestId(answer, aExchange.mRequestId);
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  if (aExchange.IsBytes()) {
    co_await StreamBytes(aConnection, aExchange);
  } else {
    co_await Answer(aConnection, aExchange);
  }
}

Awaitable<void> BackendTarget::Answer(HttpConnection& aConnection,
                                      Exchange& aExchange)
{
  std::string requestId = aExchange.mRequestId;
  std::string echo = aExchange.mEcho;
  if (!mLastEcho.empty() && mRandom.Chance(mFaults.mCrossAnswers)) {
    ++mCrossed;
    requestId = mLastRequestId;
    echo = mLastEcho;
  }
  mLastRequestId = aExchange.mRequestId;
  mLastEcho = aExchange.mEcho;
  nlohmann::json document;
  document["target"] = mOptions.mName;
  document["service"] = mOptions.mService;
  document["method"] = aExchange.mMethod;
  document["path"] = aExchange.mPath;
  document["workspace"] = aExchange.mWorkspace;
  document["idempotency_key"] = aExchange.mKey;
  document["request_id"] = requestId;
  document["echo"] = echo;
  document["bytes"] = aExchange.mBytes;
  document["checksum"] = aExchange.mChecksum;
  auto answer = JsonAnswer(http::status::ok, document);
  SetRequestId(answer, requestId);
  if (mRandom.Chance(mFaults.mCutAnswers)) {
    ++mCut;
    answer.content_length(answer.body().size());
    const std::string half = answer.body().substr(0, answer.body().size() / 2);
    ResponseHeader header = answer.base();
    co_await aConnection.WriteHeader(std::move(header));
    co_await aConnection.WriteSome(half.data(), half.size());
    aConnection.CloseAfterAnswer();
    aConnection.Abort();
    co_return;
  }
  co_await aConnection.Write(std::move(answer));
}

Awaitable<void> BackendTarget::StreamBytes(HttpConnection& aConnection,
                                           Exchange& aExchange)
{
  uint64_t left = *ParseNumber(aExchange.mTarget.mSegments[1]);
  const auto pause = std::chrono::milliseconds(std::min<uint64_t>(
    aExchange.mTarget.Number("pause_ms").value_or(0), 60'000));
  TextResponse prepared(http::status::ok, 11);
  prepared.set(http::field::content_type, "application/octet-stream");
  SetRequestId(prepared, aExchange.mRequestId);
  prepared.set("X-Echo", aExchange.mEcho);
  prepared.content_length(left);
  ResponseHeader header = prepared.base();
  const bool cut = mRandom.Chance(mFaults.mCutAnswers);
  const uint64_t end = cut ? left / 2 : 0;
  ErrorCode ec = co_await aConnection.WriteHeader(std::move(header));
  const bool isHead = aExchange.mMethod == "HEAD";
  while (!ec && !isHead && left > end) {
    const size_t n = size_t(std::min<uint64_t>(left - end, Pattern().size()));
    ec = co_await aConnection.WriteSome(Pattern().data(), n);
    left -= n;
    if (pause > std::chrono::milliseconds::zero() && left > end) {
      asio::steady_timer timer(mExecutor);
      co_await Wait(timer, pause);
    }
    if (aExchange.mEpoch != mEpoch) {
      co_return;
    }
  }
  if (ec) {
    ++mCancelled;
  }
  if (ec || cut) {
    mCut += cut ? 1 : 0;
    aConnection.CloseAfterAnswer();
    aConnection.Abort();
    co_return;
  }
  co_await aConnection.FinishAnswer();
}

Awaitable<void> BackendTarget::AnswerHealth(HttpConnection& aConnection)
{
  const TimePoint now = SteadyNow();
  if (!mHealth || now - mHealth->mReportedAt >= mOptions.mHealthLag) {
    const HealthReport report{ now, mDraining, mSlotsInUse };
    mHealth = report;
  }
  TextResponse answer =
    ErrorAnswer(http::status::internal_server_error, "injected failure");
  if (!mFaults.mFailing || mFaults.mMisleadingHealth) {
    const bool misleading = mFaults.mMisleadingHealth;
    nlohmann::json document;
    document["state"] = mHealth->mDraining && !misleading ? "draining" : "live";
    document["load"] =
      misleading ? 0 : double(mHealth->mInUse) / std::max(1u, mOptions.mSlots);
    document["slots"] = mOptions.mSlots;
    answer = JsonAnswer(http::status::ok, document);
  }
  co_await aConnection.Write(std::move(answer));
}

nlohmann::json BackendTarget::Stats() const
{
  nlohmann::json document;
  document["service"] = mOptions.mService;
  document["address"] = mOptions.mAddress;
  document["port"] = mOptions.mPort;
  document["slots"] = mOptions.mSlots;
  document["slots_in_use"] = mSlotsInUse;
  document["peak_slots"] = mPeakSlots;
  document["connections"] = mServer->Connections();
  document["peak_connections"] = mPeakConnections;
  document["refused_connections"] = mRefusedConnections;
  document["down"] = mDown;
  document["draining"] = mDraining;
  document["requests"] = mRequests;
  document["executed"] = mExecuted;
  document["shed"] = mShed;
  document["cancelled"] = mCancelled;
  document["deadline_exceeded"] = mDeadlineExceeded;
  document["broken_uploads"] = mBrokenUploads;
  document["with_authorization"] = mWithAuthorization;
  document["crashes"] = mCrashes;
  document["crossed_answers"] = mCrossed;
  document["cut_answers"] = mCut;
  document["cold_requests_left"] = mColdLeft;
  document["after_drain"] = mAfterDrain;
  document["after_drain_ms"] = mAfterDrainMs;
  return document;
}

} // namespace pollenway
