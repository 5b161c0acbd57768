#include "HttpClientConnection.h"

#include "DeadPeerDetection.h"
#include "SteadyTime.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>

#include <limits>
#include <string_view>

namespace pollenway {

namespace {

constexpr size_t kMaxReadBytes = 64 * 1024;

/// Returns true for a status that an answer to a request may have. Switching
/// protocols is none: this client never asks for it.
bool IsValidStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 599 &&
         http::status(aStatus) != http::status::switching_protocols;
}

/// Returns true if a line of a header continues the field of the line before.
bool HasFoldedLine(std::string_view aLines)
{
  return aLines.find("\n ") != std::string_view::npos ||
         aLines.find("\n\t") != std::string_view::npos;
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::any_io_executor aExecutor)
  : mStream(aExecutor)
{
}

Awaitable<Result<void>> HttpClientConnection::Connect(tcp::endpoint aEndpoint,
                                                      Duration aTimeout)
{
  ErrorCode ec;
  if (mLocalAddress) {
    mStream.socket().open(aEndpoint.protocol(), ec);
    if (!ec) {
      mStream.socket().bind(tcp::endpoint(*mLocalAddress, 0), ec);
    }
  }
  if (!ec) {
    mStream.expires_after(aTimeout);
    co_await mStream.async_connect(aEndpoint, Into(ec));
  }
  if (ec) {
    mFailed = true;
    co_return Error{ ResultCode::PeerUnavailable,
                     "connect failed: " + ec.message(),
                     {} };
  }
  mStream.socket().set_option(tcp::no_delay(true), ec);
  EnableDeadPeerDetection(mStream.socket());
  co_return outcome::success();
}

Awaitable<ErrorCode> HttpClientConnection::WriteHeader(RequestHeader aHeader,
                                                       Duration aTimeout)
{
  mParser.reset();
  mIdleSince.reset();
  mBytesSent = 0;
  mRequestDone = false;
  http::request<http::empty_body> request(std::move(aHeader));
  mIsHead = request.method() == http::verb::head;
  mChunked = beast::iequals(request[http::field::transfer_encoding], "chunked");
  http::request_serializer<http::empty_body> serializer(request);
  ErrorCode ec;
  mStream.expires_after(aTimeout);
  // Counted before the write, because some bytes may have been sent even if it
  // fails.
  mBytesSent += 1;
  co_await http::async_write_header(mStream, serializer, Into(ec));
  mFailed = mFailed || bool(ec);
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::WriteSome(const char* aData,
                                                     size_t aSize,
                                                     Duration aTimeout)
{
  ErrorCode ec;
  if (aSize == 0) {
    co_return ec;
  }
  mStream.expires_after(aTimeout);
  const auto buf = asio::buffer(aData, aSize);
  if (mChunked) {
    co_await asio::async_write(mStream, http::make_chunk(buf), Into(ec));
  } else {
    co_await asio::async_write(mStream, buf, Into(ec));
  }
  mBytesSent += aSize;
  mFailed = mFailed || bool(ec);
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::FinishRequest(Duration aTimeout)
{
  ErrorCode ec;
  if (mChunked) {
    mStream.expires_after(aTimeout);
    co_await asio::async_write(mStream, http::make_chunk_last(), Into(ec));
  }
  mFailed = mFailed || bool(ec);
  mRequestDone = !ec;
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::Write(TextRequest aRequest,
                                                 Duration aTimeout)
{
  mParser.reset();
  mIdleSince.reset();
  mChunked = false;
  mIsHead = aRequest.method() == http::verb::head;
  mPendingWrite.reset();
  ErrorCode ec;
  mStream.expires_after(aTimeout);
  mBytesSent = 1;
  co_await http::async_write(mStream, aRequest, Into(ec));
  mFailed = mFailed || bool(ec);
  mRequestDone = !ec;
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::WriteAndReadHeader(
  std::shared_ptr<const SharedRequest> aRequest,
  Duration aTimeout)
{
  mParser.reset();
  mIdleSince.reset();
  mChunked = false;
  mRequestDone = false;
  mIsHead = aRequest->method() == http::verb::head;
  mBytesSent = 1;
  mPendingWrite = std::make_shared<PendingWrite>();
  mStream.expires_after(aTimeout);
  http::async_write(
    mStream,
    *aRequest,
    [aRequest, write = mPendingWrite](const ErrorCode& aError, size_t) {
      write->mDone = !aError;
      // A broken pipe means that the peer had ended its side before.
      write->mConnectionBroke = aError && aError != asio::error::broken_pipe;
    });
  const ErrorCode ec =
    co_await ReadHeaderUntil(SteadyNow() + aTimeout, LastHeader::Final);
  co_return ec;
}

Awaitable<bool> HttpClientConnection::WaitReadable(Duration aTimeout)
{
  if (mBuffer.size() > 0) {
    co_return true;
  }
  asio::steady_timer timer(mStream.get_executor(), aTimeout);
  bool expired = false;
  timer.async_wait([&](const ErrorCode& aError) {
    if (!aError) {
      expired = true;
      ErrorCode ignored;
      mStream.socket().cancel(ignored);
    }
  });
  ErrorCode ec;
  co_await mStream.socket().async_wait(tcp::socket::wait_read, Into(ec));
  if (!expired) {
    timer.cancel();
    // Lets the cancelled handler run before its captures go out of scope.
    co_await asio::post(mStream.get_executor(), asio::use_awaitable);
  }
  co_return !ec;
}

Awaitable<ErrorCode> HttpClientConnection::ReadOneHeader(Duration aTimeout)
{
  mParser.emplace();
  mParser->body_limit(std::numeric_limits<uint64_t>::max());
  mParser->skip(mIsHead);
  mStream.expires_after(aTimeout);
  ErrorCode ec = co_await ParseHeader();
  if (!ec && !IsValidStatus(Header().result_int())) {
    // The parser accepts any three digits.
    ec = http::error::bad_status;
  }
  mFailed = mFailed || bool(ec);
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::ParseHeader()
{
  for (;;) {
    ErrorCode ec = http::error::need_more;
    if (mBuffer.size() > 0) {
      const auto bytes = mBuffer.cdata();
      const size_t n = mParser->put(bytes, ec);
      // The parser joins folded lines, which changes the field before them and
      // hides a length among them. http::async_read_header doesn't show it.
      if (HasFoldedLine({ static_cast<const char*>(bytes.data()), n })) {
        co_return http::error::bad_value;
      }
      mBuffer.consume(n);
    }
    if (ec != http::error::need_more) {
      co_return ec;
    }
    const size_t size = beast::read_size(mBuffer, kMaxReadBytes);
    const size_t n =
      co_await mStream.async_read_some(mBuffer.prepare(size), Into(ec));
    mBuffer.commit(n);
    if (ec == asio::error::eof) {
      co_return mParser->got_some() ? http::error::partial_message
                                    : http::error::end_of_stream;
    }
    if (ec) {
      co_return ec;
    }
  }
}

Awaitable<ErrorCode> HttpClientConnection::ReadHeaderUntil(TimePoint aUntil,
                                                           LastHeader aLast)
{
  for (;;) {
    // Interim answers without end must not extend the time.
    const ErrorCode ec = co_await ReadOneHeader(
      std::max<Duration>(aUntil - SteadyNow(), Duration::zero()));
    const bool isInterim = !ec && Header().result_int() / 100 == 1;
    if (!isInterim || (aLast == LastHeader::Continue && IsContinue())) {
      co_return ec;
    }
    if (SteadyNow() >= aUntil) {
      mFailed = true;
      co_return beast::error::timeout;
    }
  }
}

Awaitable<ErrorCode> HttpClientConnection::ReadInterimHeader(Duration aTimeout)
{
  const ErrorCode ec =
    co_await ReadHeaderUntil(SteadyNow() + aTimeout, LastHeader::Continue);
  co_return ec;
}

Awaitable<ErrorCode> HttpClientConnection::ReadHeader(Duration aTimeout)
{
  const ErrorCode ec =
    co_await ReadHeaderUntil(SteadyNow() + aTimeout, LastHeader::Final);
  co_return ec;
}

bool HttpClientConnection::IsContinue() const
{
  return mParser->get().result() == http::status::continue_;
}

const ResponseHeader& HttpClientConnection::Header() const
{
  return mParser->get().base();
}

std::optional<uint64_t> HttpClientConnection::BodyLength() const
{
  const auto n = mParser->content_length();
  return n ? std::optional<uint64_t>(*n) : std::nullopt;
}

Awaitable<Result<size_t>> HttpClientConnection::ReadSome(char* aData,
                                                         size_t aSize,
                                                         Duration aTimeout)
{
  auto& body = mParser->get().body();
  while (!mParser->is_done()) {
    body.data = aData;
    body.size = aSize;
    ErrorCode ec;
    mStream.expires_after(aTimeout);
    co_await http::async_read_some(mStream, mBuffer, *mParser, Into(ec));
    if (ec && ec != http::error::need_buffer) {
      mFailed = true;
      co_return Error{ ResultCode::AnswerIncomplete,
                       "answer ended early: " + ec.message(),
                       {} };
    }
    const size_t n = aSize - body.size;
    if (n > 0) {
      co_return n;
    }
  }
  if (IsEndBroken()) {
    mFailed = true;
    co_return Error{ ResultCode::AnswerIncomplete,
                     "the connection broke while the request was written",
                     {} };
  }
  co_return size_t(0);
}

bool HttpClientConnection::IsEndBroken() const
{
  // A socket reports its error once. If the write has taken it, reading sees an
  // orderly end.
  return mParser->need_eof() && mPendingWrite &&
         mPendingWrite->mConnectionBroke;
}

bool HttpClientConnection::IsReusable() const
{
  const bool written = mRequestDone || (mPendingWrite && mPendingWrite->mDone);
  return !mFailed && written && mParser && mParser->is_done() &&
         mParser->get().keep_alive() && mBuffer.size() == 0;
}

bool HttpClientConnection::IsStale()
{
  char byte;
  ErrorCode ec;
  mStream.socket().non_blocking(true, ec);
  mStream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec != asio::error::would_block;
}

void HttpClientConnection::Close()
{
  ErrorCode ec;
  mFailed = true;
  mStream.socket().close(ec);
}

} // namespace pollenway
