#include "Caller.h"

#include "RequestTarget.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/crc.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace pollenway {

namespace {

using Kind = AttemptResult::Kind;

constexpr size_t kChunkBytes = 64 * 1024;
constexpr size_t kMaxAnswerBytes = 64 * 1024;
constexpr auto kInitialRetryDelay = std::chrono::milliseconds(50);

HttpClientPoolOptions PoolOptions(std::optional<asio::ip::address> aSource)
{
  HttpClientPoolOptions options;
  options.mLocalAddress = aSource;
  return options;
}

/// Returns the text that is repeated to fill request bodies.
const std::string& BodyPattern()
{
  static const std::string kPattern = [] {
    std::string text(kChunkBytes, ' ');
    for (size_t i = 0; i < text.size(); ++i) {
      text[i] = char('A' + i % 23);
    }
    return text;
  }();
  return kPattern;
}

uint32_t BodyChecksum(uint64_t aBytes)
{
  if (aBytes == 0) {
    return 0;
  }
  boost::crc_32_type checksum;
  while (aBytes > 0) {
    const size_t n = size_t(std::min<uint64_t>(aBytes, kChunkBytes));
    checksum.process_bytes(BodyPattern().data(), n);
    aBytes -= n;
  }
  return checksum.checksum();
}

/// Returns true if this part of an answer to GET /bytes/N, which starts at byte
/// `aOffset`, has the expected content.
bool MatchesBytesPattern(const char* aData, size_t aSize, uint64_t aOffset)
{
  for (size_t i = 0; i < aSize; ++i) {
    if (aData[i] != char('a' + (aOffset + i) % 16)) {
      return false;
    }
  }
  return true;
}

} // namespace

/// State of one request across its attempts.
struct Caller::Request
{
  explicit Request(const Operation& aOperation)
    : mOperation(aOperation)
  {
    const auto target = RequestTarget::Parse(aOperation.mPath);
    if (target.mSegments.size() == 2 && target.mSegments[0] == "bytes") {
      mExpectedBytes = ParseNumber(target.mSegments[1]);
    }
  }

  const Operation& mOperation;
  std::string mKey;
  std::string mEcho;
  uint32_t mChecksum = 0;
  /// Expected length of the answer to GET /bytes/N.
  std::optional<uint64_t> mExpectedBytes;
  bool mEntitled = false;
};

Caller::Caller(asio::any_io_executor aExecutor,
               const LoadPlan& aPlan,
               const WorkspacePlan& aWorkspace,
               std::optional<asio::ip::address> aSource,
               IdealBucket& aBucket,
               Random& aRandom,
               LoadStatistics& aStatistics)
  : mExecutor(aExecutor)
  , mPlan(aPlan)
  , mWorkspace(aWorkspace)
  , mBucket(aBucket)
  , mRandom(aRandom)
  , mStatistics(aStatistics)
  , mPool(aExecutor, PoolOptions(aSource))
  , mInstances(mPool, aPlan.mBootstrap, aRandom, aStatistics)
{
}

Awaitable<void> Caller::Send(const Operation& aOperation,
                             uint64_t aNumber,
                             TimePoint aArrival)
{
  Request request(aOperation);
  request.mEcho = mPlan.mRunId + '-' + std::to_string(aNumber);
  request.mChecksum = BodyChecksum(aOperation.mBodyBytes);
  if (aOperation.mHasKey) {
    request.mKey = request.mEcho;
  }
  LoadStatistics::RequestEnd end;
  end.mWorkspace = mWorkspace.mName;
  end.mService = aOperation.mService;
  end.mKey = request.mKey;
  end.mNeverRan = true;
  for (unsigned attempt = 0;; ++attempt) {
    request.mEntitled = false;
    const AttemptResult result = co_await Attempt(request);
    end.mLast = result;
    mStatistics.RecordAttempt(mWorkspace.mName, end.mLast, request.mEntitled);
    end.mNeverRan = end.mNeverRan && (end.mLast.mKind == Kind::NotRun ||
                                      end.mLast.mKind == Kind::ConnectFailed);
    Duration pause{};
    if (!ShouldRetry(end.mLast, attempt, pause)) {
      break;
    }
    ErrorCode ec;
    asio::steady_timer timer(mExecutor, pause);
    co_await timer.async_wait(Into(ec));
  }
  end.mLatency = SteadyNow() - aArrival;
  mStatistics.RecordRequestEnd(end);
}

bool Caller::ShouldRetry(const AttemptResult& aResult,
                         unsigned aAttempt,
                         Duration& aPause)
{
  if (aAttempt >= mPlan.mRetries) {
    return false;
  }
  const double jitter = 0.5 + mRandom.Uniform();
  switch (aResult.mKind) {
    case Kind::ConnectFailed:
    case Kind::Broken:
    case Kind::Cut:
    case Kind::Unknown:
      aPause =
        FromSeconds(ToSeconds(kInitialRetryDelay) * (1u << aAttempt) * jitter);
      return true;
    case Kind::NotRun:
      aPause = FromSeconds(ToSeconds(aResult.mRetryAfter) * jitter);
      return aResult.mCode != ResultCode::RateExceeded ||
             mPlan.mRetryRateExceeded;
    default:
      return false;
  }
}

Awaitable<std::optional<tcp::endpoint>> Caller::ChooseEndpoint(
  const std::string& aService)
{
  if (mPlan.mDirect.empty()) {
    auto found = co_await mInstances.Find(aService);
    co_return found;
  }
  const auto& address = mPlan.mDirect[mRandom.Below(mPlan.mDirect.size())];
  ErrorCode ec;
  co_return tcp::endpoint(asio::ip::make_address(address.mAddress, ec),
                          address.mPort);
}

Awaitable<AttemptResult> Caller::Attempt(Request& aRequest)
{
  AttemptResult result;
  auto endpoint = co_await ChooseEndpoint(aRequest.mOperation.mService);
  if (!endpoint) {
    co_return result;
  }
  auto acquired =
    co_await mPool.Acquire(*endpoint, HttpClientPoolOptions().mMaxIdleTime);
  if (!acquired) {
    mInstances.Avoid(*endpoint);
    co_return result;
  }
  auto connection = std::move(acquired.value());
  const bool reused = connection->BytesSent() > 0;
  aRequest.mEntitled = mBucket.Admit(SteadyNow());
  // The answer is read even if the write failed, because a server may refuse a
  // request before it has read the body.
  co_await Write(*connection, aRequest);
  const ErrorCode readError = co_await connection->ReadHeader(mPlan.mTimeout);
  if (readError) {
    mInstances.Avoid(*endpoint);
    result.mKind = Kind::Broken;
    result.mReusedConnection = reused;
    co_return result;
  }
  result = co_await ReadAnswer(*connection, aRequest);
  result.mReusedConnection = reused;
  mPool.Release(*endpoint, std::move(connection));
  co_return result;
}

Awaitable<ErrorCode> Caller::Write(HttpClientConnection& aConnection,
                                   Request& aRequest)
{
  const auto& operation = aRequest.mOperation;
  http::request<http::empty_body> request;
  request.version(11);
  request.method_string(operation.mMethod);
  request.target(operation.mPath);
  request.set(http::field::host, "pollenway");
  request.set("X-Echo", aRequest.mEcho);
  if (!aRequest.mKey.empty()) {
    request.set("Idempotency-Key", aRequest.mKey);
  }
  if (!mPlan.mDirect.empty() && !mPlan.mDirectWithKey) {
    request.set("Pollenway-Workspace", mWorkspace.mName);
  } else if (!mWorkspace.mKey.empty()) {
    request.set(http::field::authorization, "Bearer " + mWorkspace.mKey);
  }
  if (mPlan.mDeadline > Duration::zero()) {
    request.set("Pollenway-Deadline-Ms",
                std::to_string(uint64_t(ToSeconds(mPlan.mDeadline) * 1e3)));
  }
  for (const auto& [name, value] : operation.mHeaders) {
    request.set(name, value);
  }
  uint64_t left = operation.mBodyBytes;
  if (left > 0 || !aRequest.mKey.empty()) {
    request.content_length(left);
  }
  RequestHeader header = request.base();
  ErrorCode ec =
    co_await aConnection.WriteHeader(std::move(header), mPlan.mTimeout);
  while (!ec && left > 0) {
    const size_t n = size_t(std::min<uint64_t>(left, kChunkBytes));
    ec =
      co_await aConnection.WriteSome(BodyPattern().data(), n, mPlan.mTimeout);
    left -= n;
  }
  if (!ec) {
    ec = co_await aConnection.FinishRequest(mPlan.mTimeout);
  }
  co_return ec;
}

Awaitable<AttemptResult> Caller::ReadAnswer(HttpClientConnection& aConnection,
                                            Request& aRequest)
{
  AttemptResult result;
  const ResponseHeader header = aConnection.Header();
  result.mStatus = header.result_int();
  const bool success = result.mStatus == 200;
  const bool isBytes = success && aRequest.mExpectedBytes.has_value();
  std::string body;
  std::vector<char> buf(kMaxAnswerBytes);
  uint64_t length = 0;
  bool matches = true;
  for (;;) {
    auto n =
      co_await aConnection.ReadSome(buf.data(), buf.size(), mPlan.mTimeout);
    if (!n) {
      result.mKind = Kind::Cut;
      co_return result;
    }
    if (n.value() == 0) {
      break;
    }
    if (isBytes) {
      matches = matches && MatchesBytesPattern(buf.data(), n.value(), length);
    } else if (body.size() < kMaxAnswerBytes) {
      body.append(buf.data(), n.value());
    }
    length += n.value();
  }
  if (isBytes) {
    matches = matches && length == *aRequest.mExpectedBytes &&
              header["X-Echo"] == aRequest.mEcho;
    result.mKind = matches ? Kind::Answered : Kind::Mismatched;
    co_return result;
  }
  if (success) {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    matches =
      document.is_object() && document.value("echo", "") == aRequest.mEcho &&
      document.value("bytes", uint64_t(0)) == aRequest.mOperation.mBodyBytes &&
      document.value("checksum", 0u) == aRequest.mChecksum;
    result.mKind = matches ? Kind::Answered : Kind::Mismatched;
    co_return result;
  }
  const std::string retryAfter = FieldText(header, "Retry-After");
  if (!retryAfter.empty()) {
    result.mRetryAfter = FromSeconds(
      std::min(30.0, std::max(0.0, std::strtod(retryAfter.c_str(), nullptr))));
  }
  result.mCode =
    ResultCode(ParseNumber(FieldText(header, "Pollenway-Code")).value_or(0));
  const std::string outcome = FieldText(header, "Pollenway-Outcome");
  if (outcome == "not-run" || header["Pollenway-Not-Run"] == "1") {
    result.mKind = Kind::NotRun;
  } else if (outcome == "unknown") {
    result.mKind = Kind::Unknown;
  } else if (outcome == "ran") {
    result.mKind = Kind::Ran;
  } else {
    result.mKind = Kind::OtherStatus;
  }
  co_return result;
}

} // namespace pollenway
