#include "HttpConnection.h"

#include "SteadyTime.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include <algorithm>
#include <limits>

namespace pollenway {

namespace {

/// Limits in time and bytes for reading before the connection is closed, if the
/// answer was sent before the body was complete, or if more bytes follow.
constexpr auto kMaxUnreadBodyTime = std::chrono::seconds(1);
constexpr size_t kMaxUnreadBodyBytes = 1024 * 1024;
/// Size of one read beyond the current request.
constexpr size_t kReadAheadBytes = 4096;
/// Memory of a field beside its name and value.
constexpr uint64_t kFieldBytes = 96;
/// Number of copies of a header while its request is passed on: of the
/// connection, of the request, and of the attempt at a target.
constexpr uint64_t kHeaderCopies = 3;
/// Headers up to this size need no reserved memory.
constexpr uint64_t kUnreservedHeaderBytes = 8 * 1024;

/// Returns the memory that a header takes while its request is in flight.
uint64_t HeaderMemory(const RequestHeader& aHeader)
{
  uint64_t out = aHeader.target().size();
  for (const auto& it : aHeader) {
    out += kFieldBytes + it.name_string().size() + it.value().size();
  }
  return out * kHeaderCopies;
}

} // namespace

HttpConnection::HttpConnection(tcp::socket aSocket,
                               HttpLimits aLimits,
                               std::shared_ptr<ByteBudget> aHeaderMemory)
  : mStream(std::move(aSocket))
  , mLimits(aLimits)
  , mOpenedAt(SteadyNow())
  , mHeaderMemory(std::move(aHeaderMemory))
{
  ErrorCode ec;
  mStream.socket().set_option(tcp::no_delay(true), ec);
  mPeer = mStream.socket().remote_endpoint(ec);
}

Awaitable<bool> HttpConnection::ReadHeader()
{
  mOnDisconnect = nullptr;
  mAnswered = false;
  mContinueSent = false;
  mIdle = true;
  mWaitingSince = SteadyNow();
  mBodyDeadline = TimePoint::max();
  mHeader = {};
  mReservedHeader = {};
  mParser.emplace();
  mParser->body_limit(std::numeric_limits<uint64_t>::max());
  ErrorCode ec;
  if (mPeerClosed) {
    // Nobody waits for an answer to a request that was read ahead.
    co_return false;
  }
  if (mBuffer.size() == 0) {
    // The keep-alive time-out applies until the first byte, the header time-out
    // after it.
    mStream.expires_after(mLimits.mKeepAliveTimeout);
    const size_t n =
      co_await mStream.async_read_some(mBuffer.prepare(4096), Into(ec));
    // Bytes that were read before the connection was closed as idle are
    // discarded: the caller will assume that the request was not read, and will
    // resend it.
    if (ec || mAborted) {
      co_return false;
    }
    mBuffer.commit(n);
  }
  mIdle = false;
  mExpectsRequest = false;
  // The limits may have changed while the connection was idle.
  mParser->header_limit(mLimits.mHeaderBytes);
  mBuffer.max_size(
    std::max(mBuffer.size(), mLimits.mHeaderBytes + kReadAheadBytes));
  mStream.expires_after(mLimits.mHeaderTimeout);
  co_await http::async_read_header(mStream, mBuffer, *mParser, Into(ec));
  if (ec) {
    co_await RefuseHeader(ec);
    co_return false;
  }
  const bool isTaken = TakeHeader();
  if (!isTaken) {
    co_await WriteRefusal(http::status::service_unavailable,
                          ResultCode::QueueFull,
                          "the memory for request headers is used up");
  }
  co_return isTaken;
}

bool HttpConnection::TakeHeader()
{
  mIsKeepAlive = mParser->get().keep_alive();
  mHeader = std::move(mParser->get().base());
  if (mParser->is_done()) {
    EndRequest();
  }
  const uint64_t size = HeaderMemory(mHeader);
  if (size <= kUnreservedHeaderBytes || !mHeaderMemory ||
      mHeaderMemory->Resize(mReservedHeader, size)) {
    return true;
  }
  mHeader = {};
  return false;
}

void HttpConnection::EndRequest()
{
  mWaitingSince.reset();
  // Trailers are not used.
  mParser->get().base().clear();
}

bool HttpConnection::HasPendingInput()
{
  ErrorCode ec;
  return mBuffer.size() > 0 || mStream.socket().available(ec) > 0;
}

void HttpConnection::ExpectRequest(Duration aTimeout)
{
  mExpectsRequest = true;
  mLimits.mKeepAliveTimeout = aTimeout;
}

Awaitable<void> HttpConnection::RefuseHeader(ErrorCode aError)
{
  http::status status = http::status::unknown;
  ResultCode code = ResultCode::BadRequest;
  if (aError == http::error::header_limit) {
    status = http::status::request_header_fields_too_large;
    code = ResultCode::TooLarge;
  } else if (aError == beast::error::timeout) {
    status = http::status::request_timeout;
  } else if (aError.category() ==
               http::make_error_code(http::error::bad_target).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message) {
    status = http::status::bad_request;
  }
  if (status == http::status::unknown || !mStream.socket().is_open()) {
    co_return;
  }
  co_await WriteRefusal(status, code, aError.message());
}

Awaitable<void> HttpConnection::WriteRefusal(http::status aStatus,
                                             ResultCode aCode,
                                             std::string aDetail)
{
  TextResponse answer(aStatus, 11);
  answer.set("Pollenway-Outcome", std::string(Name(Outcome::NotRun)));
  answer.set("Pollenway-Code", std::to_string(int(aCode)));
  answer.body() = "request header refused: " + aDetail + "\n";
  CloseAfterAnswer();
  co_await Write(std::move(answer));
}

const RequestHeader& HttpConnection::Header() const
{
  return mHeader;
}

bool HttpConnection::IsKeepAlive() const
{
  return mIsKeepAlive && !mCloseAfterAnswer;
}

std::optional<uint64_t> HttpConnection::BodyLength() const
{
  if (mParser->chunked()) {
    return std::nullopt;
  }
  const auto n = mParser->content_length();
  return n ? *n : 0;
}

bool HttpConnection::ExpectsContinue() const
{
  return beast::iequals(Header()[http::field::expect], "100-continue");
}

Awaitable<ErrorCode> HttpConnection::SendContinue()
{
  ErrorCode ec;
  if (!ExpectsContinue() || mContinueSent || mAnswered) {
    co_return ec;
  }
  mContinueSent = true;
  http::response<http::empty_body> answer(http::status::continue_, 11);
  mStream.expires_after(mLimits.mIdleTimeout);
  co_await http::async_write(mStream, answer, Into(ec));
  co_return ec;
}

Awaitable<Result<size_t>> HttpConnection::ReadSome(char* aData, size_t aSize)
{
  auto& body = mParser->get().body();
  ErrorCode ec = co_await SendContinue();
  while (!mParser->is_done()) {
    body.data = aData;
    body.size = aSize;
    ec = {};
    // The time-out is for a pause; a body may come slowly without one.
    mStream.expires_after(
      std::min(mLimits.mIdleTimeout, mBodyDeadline - SteadyNow()));
    co_await http::async_read_some(mStream, mBuffer, *mParser, Into(ec));
    if (!mParser->is_done() && SteadyNow() >= mBodyDeadline) {
      co_return Error{ ResultCode::DeadlineBeforeStart,
                       "the body is not complete at the request's deadline",
                       {} };
    }
    if (ec == http::error::buffer_overflow) {
      co_return Error{ ResultCode::TooLarge,
                       "a chunk's header or the trailers are too long",
                       {} };
    }
    if (ec && ec != http::error::need_buffer) {
      co_return Error{ ResultCode::BadRequest,
                       "request body ended early: " + ec.message(),
                       {} };
    }
    if (mParser->is_done()) {
      EndRequest();
    }
    const size_t n = aSize - body.size;
    if (n > 0) {
      co_return n;
    }
  }
  co_return size_t(0);
}

Awaitable<Result<std::string>> HttpConnection::ReadBody(size_t aLimit)
{
  auto body = co_await ReadBody(aLimit, [](uint64_t) { return true; });
  co_return body;
}

Awaitable<Result<std::string>> HttpConnection::ReadBody(
  size_t aLimit,
  std::function<bool(uint64_t)> aReserve)
{
  const Error tooLarge{ ResultCode::TooLarge, "request body is too large", {} };
  const Error noMemory{ ResultCode::QueueFull,
                        "the memory for request bodies is used up",
                        {} };
  const uint64_t length = BodyLength().value_or(0);
  if (length > aLimit) {
    co_return tooLarge;
  }
  if (length > 0 && !aReserve(length)) {
    co_return noMemory;
  }
  std::string body;
  uint64_t reserved = length;
  body.reserve(length);
  char buf[16 * 1024];
  for (;;) {
    auto n = co_await ReadSome(buf, sizeof(buf));
    if (!n) {
      co_return n.error();
    }
    if (n.value() == 0) {
      co_return body;
    }
    const size_t size = body.size() + n.value();
    if (size > aLimit) {
      co_return tooLarge;
    }
    if (size > reserved) {
      reserved =
        std::min<uint64_t>(std::max(2 * reserved, sizeof(buf)), aLimit);
      if (!aReserve(reserved)) {
        co_return noMemory;
      }
      body.reserve(reserved);
    }
    body.append(buf, n.value());
  }
}

Awaitable<void> HttpConnection::SkipBody(uint64_t aLimit)
{
  char buf[16 * 1024];
  for (uint64_t total = 0; total <= aLimit;) {
    auto n = co_await ReadSome(buf, sizeof(buf));
    if (!n || n.value() == 0) {
      co_return;
    }
    total += n.value();
  }
}

bool HttpConnection::IsBodyDone() const
{
  return mParser->is_done();
}

void HttpConnection::CancelBody()
{
  if (!mIdle && !mAnswered && mParser && mParser->is_header_done() &&
      !mParser->is_done()) {
    mStream.cancel();
  }
}

void HttpConnection::PrepareAnswer(ResponseHeader& aHeader)
{
  mAnswered = true;
  mHasServed = mHasServed || (mParser && mParser->is_done());
  mWaitingSince.reset();
  // An unread body would be parsed as the next request.
  if (!mParser || !mParser->is_done()) {
    mCloseAfterAnswer = true;
  }
  if (!IsKeepAlive()) {
    mCloseAfterAnswer = true;
    aHeader.set(http::field::connection, "close");
  } else {
    aHeader.erase(http::field::connection);
  }
}

void HttpConnection::BeginWrite()
{
  mStream.expires_after(mLimits.mIdleTimeout);
  mUnreadSince = SteadyNow();
}

Awaitable<ErrorCode> HttpConnection::Write(TextResponse aResponse)
{
  PrepareAnswer(aResponse);
  aResponse.content_length(aResponse.body().size());
  ErrorCode ec;
  if (mHeader.method() == http::verb::head) {
    http::response_serializer<http::string_body> serializer(aResponse);
    BeginWrite();
    co_await http::async_write_header(mStream, serializer, Into(ec));
    EndWrite();
  } else {
    http::response_serializer<http::string_body> serializer(aResponse);
    while (!ec && !serializer.is_done()) {
      BeginWrite();
      co_await http::async_write_some(mStream, serializer, Into(ec));
      EndWrite();
    }
  }
  co_return ec;
}

template<typename Buffers>
Awaitable<ErrorCode> HttpConnection::WriteAll(Buffers aBuffers)
{
  beast::buffers_suffix<Buffers> left(aBuffers);
  ErrorCode ec;
  while (!ec && beast::buffer_bytes(left) > 0) {
    BeginWrite();
    const size_t n = co_await mStream.async_write_some(left, Into(ec));
    EndWrite();
    left.consume(n);
  }
  co_return ec;
}

Awaitable<ErrorCode> HttpConnection::WriteHeader(ResponseHeader aHeader)
{
  PrepareAnswer(aHeader);
  http::response<http::empty_body> answer(std::move(aHeader));
  mChunked = answer.find(http::field::content_length) == answer.end();
  if (mChunked) {
    answer.set(http::field::transfer_encoding, "chunked");
  }
  http::response_serializer<http::empty_body> serializer(answer);
  ErrorCode ec;
  BeginWrite();
  co_await http::async_write_header(mStream, serializer, Into(ec));
  EndWrite();
  co_return ec;
}

Awaitable<ErrorCode> HttpConnection::WriteSome(const char* aData, size_t aSize)
{
  ErrorCode ec;
  if (aSize == 0) {
    co_return ec;
  }
  const asio::const_buffer buf(aData, aSize);
  if (mChunked) {
    const auto chunk = http::make_chunk(buf);
    ec = co_await WriteAll(chunk);
  } else {
    ec = co_await WriteAll(buf);
  }
  co_return ec;
}

Awaitable<ErrorCode> HttpConnection::FinishAnswer()
{
  ErrorCode ec;
  if (mChunked) {
    BeginWrite();
    co_await asio::async_write(mStream, http::make_chunk_last(), Into(ec));
    EndWrite();
  }
  co_return ec;
}

void HttpConnection::WatchDisconnect(std::function<void()> aCallback)
{
  mOnDisconnect = std::move(aCallback);
  WaitReadable();
}

size_t HttpConnection::MaxReadAhead() const
{
  // The limits may have been raised since the header was read.
  return std::min<size_t>(mLimits.mHeaderBytes, mBuffer.max_size());
}

void HttpConnection::WaitReadable()
{
  if (mWatching || mBuffer.size() >= MaxReadAhead()) {
    return;
  }
  mWatching = true;
  mStream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const ErrorCode& aError) {
      self->OnReadable(aError);
    });
}

void HttpConnection::OnReadable(const ErrorCode& aError)
{
  mWatching = false;
  if (aError || mAnswered || !mOnDisconnect) {
    return;
  }
  if (!HasPeerClosed()) {
    WaitReadable();
    return;
  }
  auto callback = std::exchange(mOnDisconnect, nullptr);
  callback();
}

bool HttpConnection::HasPeerClosed()
{
  ErrorCode ec;
  mStream.socket().non_blocking(true, ec);
  while (!ec && !mPeerClosed && mBuffer.size() < MaxReadAhead()) {
    const size_t size =
      std::min(kReadAheadBytes, MaxReadAhead() - mBuffer.size());
    const size_t n = mStream.socket().receive(mBuffer.prepare(size), 0, ec);
    mBuffer.commit(n);
    mPeerClosed = ec && ec != asio::error::would_block;
  }
  return mPeerClosed || mAborted;
}

Awaitable<void> HttpConnection::CloseAfterUnreadBody()
{
  ErrorCode ec;
  mStream.socket().shutdown(tcp::socket::shutdown_send, ec);
  mStream.expires_after(kMaxUnreadBodyTime);
  char buf[4096];
  for (size_t total = 0; !ec && total < kMaxUnreadBodyBytes;) {
    total += co_await mStream.async_read_some(asio::buffer(buf), Into(ec));
  }
}

void HttpConnection::Abort()
{
  ErrorCode ec;
  mAborted = true;
  mStream.socket().close(ec);
}

} // namespace pollenway
