#include "TargetExchange.h"

#include "Logger.h"
#include "SteadyTime.h"
#include "TargetAnnouncements.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Answers up to this size are read completely before the caller receives any
/// part, so that a truncated one can be replaced by another target's.
constexpr size_t kBufferedAnswerBytes = 256 * 1024;
/// Size of one read of an answer's body. Answers up to this size need no
/// reserved memory.
constexpr size_t kReadBytes = 8 * 1024;
/// Maximum number of late answers to earlier requests that are skipped on one
/// connection.
constexpr int kMaxMismatchedAnswers = 3;
/// Time for which an answer that has arrived is still read if its deadline has
/// passed before it could be.
constexpr Duration kLateReadTime = std::chrono::milliseconds(50);
/// Maximum length of a field's value in a log line.
constexpr size_t kMaxLoggedValue = 64;

Duration RemainingTime(TimePoint aDeadline)
{
  return std::max<Duration>(aDeadline - SteadyNow(),
                            std::chrono::milliseconds(1));
}

} // namespace

TargetExchange::TargetExchange(HttpClientPool& aPool,
                               const PlatformAdapter& aPlatform,
                               TargetReachability& aReachability,
                               TargetAnnouncements& aAnnouncements,
                               std::shared_ptr<TargetState> aTarget)
  : mPool(aPool)
  , mPlatform(aPlatform)
  , mReachability(&aReachability)
  , mAnnouncements(&aAnnouncements)
  , mTarget(std::move(aTarget))
{
  ErrorCode ec;
  mEndpoint =
    tcp::endpoint(asio::ip::make_address(mTarget->Record().mAddress, ec),
                  mTarget->Record().mPort);
  mTarget->OnSent();
}

TargetExchange::TargetExchange(HttpClientPool& aPool,
                               const PlatformAdapter& aPlatform,
                               tcp::endpoint aPeer)
  : mPool(aPool)
  , mPlatform(aPlatform)
  , mEndpoint(aPeer)
{
}

TargetExchange::~TargetExchange()
{
  if (mTarget) {
    mTarget->OnEnded();
  }
  const bool isLeaving =
    mTarget && mAnnouncements->Find(mTarget->Record(), SteadyNow()) ==
                 ClosedReason::Leaving;
  if (mConnection && !isLeaving) {
    mPool.Release(mEndpoint, std::move(mConnection));
  }
}

void TargetExchange::Fail(TargetAnswer& aAnswer,
                          AttemptFailure aFailure,
                          std::string aDetail) const
{
  aAnswer.mFailure = aFailure;
  aAnswer.mDetail = std::move(aDetail);
}

Awaitable<TargetAnswer> TargetExchange::Run(const RequestSource& aSource,
                                            Duration aMaxIdleTime,
                                            TimePoint aSendBy,
                                            TimePoint aDeadline)
{
  TargetAnswer answer;
  const TimePoint startedAt = SteadyNow();
  const Duration timeLeft = RemainingTime(aSendBy);
  if (mTarget) {
    mReachability->OnAttempt(mTarget->Record().mName, startedAt);
  }
  auto acquired = co_await mPool.Acquire(mEndpoint, aMaxIdleTime, timeLeft);
  // A connection that was not established in the time that the request had left
  // is no fault of the target.
  const bool isTimeout = mCancelled || SteadyNow() >= aSendBy;
  if (!acquired) {
    if (mTarget && (!isTimeout || timeLeft >= mPool.ConnectTimeout())) {
      mReachability->OnConnectFailed(mTarget->Record().mName, SteadyNow());
    }
    Fail(answer,
         isTimeout ? AttemptFailure::Timeout : AttemptFailure::ConnectFailed,
         acquired.error().mDetail);
    co_return answer;
  }
  mConnection = std::move(acquired.value());
  if (mTarget && mConnection->IsNew()) {
    mTarget->OnConnected(SteadyNow() - startedAt);
    mReachability->OnConnected(mTarget->Record().mName, SteadyNow());
  }
  if (isTimeout) {
    Fail(answer, AttemptFailure::Timeout, "ended before it was sent");
    co_return answer;
  }
  // The target may have announced it while this request waited for the
  // connection.
  if (mTarget && mAnnouncements->IsClosed(mTarget->Record(), SteadyNow())) {
    Fail(answer, AttemptFailure::TargetClosed, "the target takes no requests");
    co_return answer;
  }
  const auto request = aSource();
  if (!request) {
    Fail(answer, AttemptFailure::Timeout, "ended before it was sent");
    co_return answer;
  }
  answer.mBytesSent = true;
  mSentAt = SteadyNow();
  const bool hasHeader =
    co_await ReadMatchingHeader(request, aDeadline, answer);
  if (hasHeader) {
    co_await ReadBody(aDeadline, answer);
  }
  if (answer.mFailure) {
    mConnection->Close();
  }
  co_return answer;
}

Awaitable<ErrorCode> TargetExchange::ReadHeader(
  std::shared_ptr<const SharedRequest> aRequest,
  bool aIsFirst,
  TimePoint aDeadline)
{
  ErrorCode ec;
  if (aIsFirst) {
    ec = co_await mConnection->WriteAndReadHeader(aRequest,
                                                  RemainingTime(aDeadline));
  } else {
    ec = co_await mConnection->ReadHeader(RemainingTime(aDeadline));
  }
  if (mTarget && !ec) {
    mReachability->OnAnswer(mTarget->Record().mName, SteadyNow());
  } else if (mTarget && !mCancelled) {
    mReachability->OnExchangeLost(mTarget->Record().mName, SteadyNow());
  }
  co_return ec;
}

Awaitable<bool> TargetExchange::ReadMatchingHeader(
  std::shared_ptr<const SharedRequest> aRequest,
  TimePoint aDeadline,
  TargetAnswer& aAnswer)
{
  const auto& idField = mPlatform.Fields().mRequestId;
  const std::string id = FieldText(*aRequest, idField);
  for (int n = 0; n <= kMaxMismatchedAnswers; ++n) {
    const ErrorCode ec = co_await ReadHeader(aRequest, n == 0, aDeadline);
    if (ec) {
      const bool isTimeout = mCancelled || ec == beast::error::timeout;
      Fail(aAnswer,
           isTimeout ? AttemptFailure::Timeout : AttemptFailure::ConnectionLost,
           ec.message());
      co_return false;
    }
    aAnswer.mHeader = mConnection->Header();
    if (FieldText(aAnswer.mHeader, idField) == id) {
      if (mTarget && IsValidAnswer(aAnswer)) {
        ReadAnnouncements(aAnswer.mHeader);
      }
      co_return true;
    }
    const bool skipped = co_await SkipBody(aDeadline);
    if (!skipped) {
      break;
    }
  }
  Fail(aAnswer,
       mCancelled ? AttemptFailure::Timeout : AttemptFailure::ConnectionLost,
       "the connection carries answers to other requests");
  co_return false;
}

Awaitable<bool> TargetExchange::SkipBody(TimePoint aDeadline)
{
  char buf[kReadBytes];
  for (;;) {
    auto n = co_await ReadMore(buf, sizeof(buf), aDeadline);
    if (!n) {
      co_return false;
    }
    if (n.value() == 0) {
      co_return true;
    }
  }
}

Awaitable<void> TargetExchange::ReadBody(TimePoint aDeadline,
                                         TargetAnswer& aAnswer)
{
  if (!IsValidAnswer(aAnswer)) {
    Fail(aAnswer, AttemptFailure::AnswerCut, "the answer is not the target's");
    co_return;
  }
  char buf[kReadBytes];
  for (;;) {
    if (aAnswer.mBody.size() >= kBufferedAnswerBytes ||
        !ReserveMemory(aAnswer, sizeof(buf))) {
      aAnswer.mHasMore = true;
      co_return;
    }
    auto n = co_await ReadMore(buf, sizeof(buf), aDeadline);
    if (!n) {
      const bool isTimeout = mCancelled || SteadyNow() >= aDeadline;
      Fail(aAnswer,
           isTimeout ? AttemptFailure::Timeout : AttemptFailure::AnswerCut,
           n.error().mDetail);
      co_return;
    }
    if (n.value() == 0) {
      co_return;
    }
    aAnswer.mBody.append(buf, n.value());
  }
}

bool TargetExchange::ReserveMemory(TargetAnswer& aAnswer, size_t aBytes) const
{
  auto& body = aAnswer.mBody;
  const size_t size = body.size() + aBytes;
  if (!mMemory || body.empty() || size <= body.capacity()) {
    return true;
  }
  const size_t capacity = std::max(size, 2 * body.capacity());
  if (!mMemory->Resize(aAnswer.mBodyMemory, capacity)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

bool TargetExchange::IsValidAnswer(const TargetAnswer& aAnswer) const
{
  const auto& fields = mPlatform.Fields();
  const bool isSuccess = aAnswer.mHeader.result_int() / 100 == 2;
  const bool isEncoded =
    !aAnswer.mHeader[http::field::content_encoding].empty();
  return !isSuccess ||
         (!aAnswer.mHeader[fields.mSignature].empty() && !isEncoded);
}

void TargetExchange::ReadAnnouncements(const ResponseHeader& aHeader)
{
  const auto status = aHeader.result();
  if (status == http::status::misdirected_request) {
    // Another target has the address now.
    return;
  }
  const auto& record = mTarget->Record();
  const auto text = [&](const auto& aField) {
    const auto value = aHeader[aField];
    return std::string_view(value.data(), value.size());
  };
  if (mPlatform.ReadLeaving(text(mPlatform.Fields().mLeaving))) {
    mAnnouncements->OnLeaving(record, mSentAt);
  }
  if (status != http::status::service_unavailable ||
      aHeader.count(http::field::retry_after) == 0) {
    return;
  }
  const auto value = text(http::field::retry_after);
  const auto time = mPlatform.ReadRetryAfter(value);
  if (time) {
    mAnnouncements->OnQuiet(record, *time, mSentAt, SteadyNow());
  } else if (mAnnouncements->OnMalformed(record)) {
    Log(LogLevel::Warn,
        "target_retry_after_malformed",
        { { "target", record.mName.Text() },
          { "value", value.substr(0, kMaxLoggedValue) } });
  }
}

Awaitable<Result<size_t>> TargetExchange::ReadMore(char* aData,
                                                   size_t aSize,
                                                   TimePoint aDeadline)
{
  TimePoint deadline = aDeadline;
  if (SteadyNow() >= aDeadline) {
    // The process was held up, or a body without end is read in short steps.
    if (mLateUntil == TimePoint{}) {
      mLateUntil = SteadyNow() + kLateReadTime;
    }
    deadline = mLateUntil;
    if (SteadyNow() >= deadline) {
      co_return Error{ ResultCode::AnswerIncomplete,
                       "the answer is not complete at the deadline",
                       {} };
    }
  }
  auto n =
    co_await mConnection->ReadSome(aData, aSize, RemainingTime(deadline));
  co_return n;
}

void TargetExchange::Cancel()
{
  mCancelled = true;
  if (mConnection) {
    mConnection->Close();
  }
}

} // namespace pollenway
