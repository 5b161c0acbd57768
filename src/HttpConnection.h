#pragma once

#include "ByteBudget.h"
#include "HttpTypes.h"
#include "Result.h"
#include "Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pollenway {

/// Limits of one server-side connection.
struct HttpLimits
{
  /// Maximum length of a header; also of the header of one chunk, and of all
  /// trailers of a body.
  uint32_t mHeaderBytes = 16 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(10);
  /// Maximum time that a connection may wait for its next request.
  Duration mKeepAliveTimeout = std::chrono::seconds(120);
  /// Maximum pause within a body or an answer.
  Duration mIdleTimeout = std::chrono::seconds(30);
};

/// Server side of one HTTP/1.1 connection. Bodies are streamed both ways
/// through buffers of the caller's size, so that memory stays bounded.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  /// `aHeaderMemory` limits the memory of long headers over all connections
  /// that share it; null for no limit.
  HttpConnection(tcp::socket aSocket,
                 HttpLimits aLimits,
                 std::shared_ptr<ByteBudget> aHeaderMemory = nullptr);

  /// Reads the next request's header. Returns false if the peer closed the
  /// connection or sent nothing for the keep-alive time. Also answers and
  /// returns false for a header that is malformed (400), too long (431), not
  /// complete in time (408), or one for which there is no memory (503).
  Awaitable<bool> ReadHeader();
  const RequestHeader& Header() const;
  bool IsKeepAlive() const;
  /// Returns the declared body length, empty for a chunked body, 0 if there is
  /// no body.
  std::optional<uint64_t> BodyLength() const;
  bool ExpectsContinue() const;

  /// Sends "100 Continue" once if the caller waits for it.
  Awaitable<ErrorCode> SendContinue();
  /// Sets the time until which the current request's body must be complete.
  void SetBodyDeadline(TimePoint aDeadline) { mBodyDeadline = aDeadline; }
  /// Reads up to `aSize` body bytes. Returns the number read, 0 at the end of
  /// the body. Sends "100 Continue" first if the caller waits for it. Errors:
  /// DeadlineBeforeStart if the body is not complete at its deadline.
  Awaitable<Result<size_t>> ReadSome(char* aData, size_t aSize);
  /// Reads the whole body. Errors: TooLarge if it exceeds `aLimit` bytes.
  Awaitable<Result<std::string>> ReadBody(size_t aLimit);
  /// Like `ReadBody`, and calls `aReserve` with the memory that the body will
  /// take before it takes more: at once for a body of known length, and as it
  /// grows for a chunked one. Errors: QueueFull if `aReserve` returns false.
  Awaitable<Result<std::string>> ReadBody(
    size_t aLimit,
    std::function<bool(uint64_t)> aReserve);
  /// Reads and discards the rest of the body, so that the connection can be
  /// reused. Stops after `aLimit` bytes; the connection is then closed after
  /// the answer.
  Awaitable<void> SkipBody(uint64_t aLimit);
  bool IsBodyDone() const;

  Awaitable<ErrorCode> Write(TextResponse aResponse);
  /// Starts a streamed answer, chunked if the header has no Content-Length.
  Awaitable<ErrorCode> WriteHeader(ResponseHeader aHeader);
  Awaitable<ErrorCode> WriteSome(const char* aData, size_t aSize);
  Awaitable<ErrorCode> FinishAnswer();
  bool HasAnswered() const { return mAnswered; }

  /// Calls `aCallback` if the peer closes the connection before the current
  /// request is answered. Call after the body was read, at most once per
  /// request.
  void WatchDisconnect(std::function<void()> aCallback);
  /// Returns true if the connection has been closed by either side. Looks at
  /// the socket and reads ahead what the peer has sent beyond the current
  /// request, up to the maximum size of a header; a close behind more bytes is
  /// not seen. Does not wait. Call after the body was read.
  bool HasPeerClosed();

  /// Closes the connection after the current request is answered.
  void CloseAfterAnswer() { mCloseAfterAnswer = true; }
  bool ClosesAfterAnswer() const { return mCloseAfterAnswer; }
  TimePoint OpenedAt() const { return mOpenedAt; }
  bool IsIdle() const { return mIdle && !mExpectsRequest; }
  /// Returns the time since which the caller has owed a request or the rest of
  /// one; empty while a request is processed or the connection is closed.
  std::optional<TimePoint> WaitingSince() const
  {
    return mAborted ? std::nullopt : mWaitingSince;
  }
  /// Returns the time since which the caller has taken nothing of an answer;
  /// empty while none is written or the connection is closed.
  std::optional<TimePoint> UnreadSince() const
  {
    return mAborted ? std::nullopt : mUnreadSince;
  }
  /// Called when the rest of the body is passed on while it arrives: the caller
  /// no longer counts as one that is waited for.
  void BeginStreaming() { mWaitingSince.reset(); }
  /// Returns true if a request has been answered on this connection.
  bool HasServed() const { return mHasServed; }
  /// Returns true if bytes of the next request have arrived.
  bool HasPendingInput();
  /// Makes an idle connection count as busy until its next request has been
  /// answered, or has not arrived within `aTimeout` of the next `ReadHeader`.
  void ExpectRequest(Duration aTimeout);
  /// Ends a wait for the rest of the request's body; `ReadSome` returns an
  /// error.
  void CancelBody();
  /// Ends the wait for the next request, so that the connection is closed. A
  /// request whose read is complete is still served.
  void CancelIdleRead() { mStream.cancel(); }
  /// Closes immediately; the peer sees an answer in progress as truncated.
  void Abort();
  void SetIdleTimeout(Duration aTimeout) { mLimits.mIdleTimeout = aTimeout; }
  /// Takes effect with the next header.
  void SetLimits(HttpLimits aLimits) { mLimits = aLimits; }
  /// Shuts down sending and reads what the peer still sends for a short time.
  /// Closing with unread bytes would reset the connection and could destroy an
  /// answer that the peer has not received yet.
  Awaitable<void> CloseAfterUnreadBody();

  asio::any_io_executor Executor() { return mStream.get_executor(); }
  tcp::endpoint Peer() const { return mPeer; }

private:
  using Parser = http::request_parser<http::buffer_body>;

  Awaitable<void> RefuseHeader(ErrorCode aError);
  Awaitable<void> WriteRefusal(http::status aStatus,
                               ResultCode aCode,
                               std::string aDetail);
  /// Takes the header from the parser. Returns false if there is no memory for
  /// it.
  bool TakeHeader();
  /// Called when the whole request has been read.
  void EndRequest();
  void PrepareAnswer(ResponseHeader& aHeader);
  /// Called before and after each write.
  void BeginWrite();
  void EndWrite() { mUnreadSince.reset(); }
  /// Writes all bytes. Fails if none can be written for the idle time.
  template<typename Buffers>
  Awaitable<ErrorCode> WriteAll(Buffers aBuffers);
  void OnReadable(const ErrorCode& aError);
  void WaitReadable();
  /// Maximum number of bytes that are read beyond the current request.
  size_t MaxReadAhead() const;

  beast::tcp_stream mStream;
  /// Bounded, because the parser needs a whole chunk header, or all trailers,
  /// in the buffer.
  beast::flat_buffer mBuffer;
  HttpLimits mLimits;
  tcp::endpoint mPeer;
  TimePoint mOpenedAt;
  std::optional<Parser> mParser;
  /// The header of the current request. It is kept apart from the parser, which
  /// adds the trailers to its own.
  RequestHeader mHeader;
  bool mIsKeepAlive = false;
  std::shared_ptr<ByteBudget> mHeaderMemory;
  ByteBudget::Reservation mReservedHeader;
  std::function<void()> mOnDisconnect;
  bool mWatching = false;
  bool mPeerClosed = false;
  bool mContinueSent = false;
  bool mAnswered = false;
  bool mChunked = false;
  TimePoint mBodyDeadline = TimePoint::max();
  std::optional<TimePoint> mWaitingSince;
  std::optional<TimePoint> mUnreadSince;
  bool mHasServed = false;
  bool mIdle = true;
  bool mExpectsRequest = false;
  bool mAborted = false;
  bool mCloseAfterAnswer = false;
};

} // namespace pollenway
