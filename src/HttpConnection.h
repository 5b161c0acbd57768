#pragma once

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
  uint32_t mHeaderBytes = 16 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(10);
  /// How long a connection may wait for its next request.
  Duration mKeepAliveTimeout = std::chrono::seconds(120);
  /// Longest pause within a body or an answer.
  Duration mIdleTimeout = std::chrono::seconds(30);
};

/// Server side of one HTTP/1.1 connection. Bodies stream both ways through
/// buffers of the caller's size, so memory stays bounded.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(tcp::socket aSocket, HttpLimits aLimits);

  /// Reads the next request's header. False if the peer closed or went idle. A
  /// malformed header (400), one that is too long (431) and one that does not
  /// end in time (408) are answered and also give false.
  Awaitable<bool> ReadHeader();
  const RequestHeader& Header() const;
  bool IsKeepAlive() const;
  /// Declared body length; empty for a chunked body. 0 if there is no body.
  std::optional<uint64_t> BodyLength() const;
  bool ExpectsContinue() const;

  /// Sends "100 Continue" once if the caller waits for it.
  Awaitable<ErrorCode> SendContinue();
  /// Reads up to `aSize` body bytes; 0 at the end of the body. Sends "100
  /// Continue" first if the caller waits for it.
  Awaitable<Result<size_t>> ReadSome(char* aData, size_t aSize);
  /// Reads the whole body. `TooLarge` if it exceeds `aLimit` bytes.
  Awaitable<Result<std::string>> ReadBody(size_t aLimit);
  bool IsBodyDone() const;

  Awaitable<ErrorCode> Write(TextResponse aResponse);
  /// Starts a streamed answer. Without a Content-Length it is sent chunked.
  Awaitable<ErrorCode> WriteHeader(ResponseHeader aHeader);
  Awaitable<ErrorCode> WriteSome(const char* aData, size_t aSize);
  Awaitable<ErrorCode> FinishAnswer();
  bool HasAnswered() const { return mAnswered; }

  /// Calls `aCallback` if the peer closes the connection before the current
  /// request is answered. Use after the body was read; one call a request.
  void WatchDisconnect(std::function<void()> aCallback);

  /// Ends the connection after the current request.
  void CloseAfterAnswer() { mCloseAfterAnswer = true; }
  bool ClosesAfterAnswer() const { return mCloseAfterAnswer; }
  bool IsIdle() const { return mIdle; }
  /// Closes at once; an answer under way is seen as broken by the peer.
  void Abort();
  void SetIdleTimeout(Duration aTimeout) { mLimits.mIdleTimeout = aTimeout; }
  /// Holds from the next header on.
  void SetLimits(HttpLimits aLimits) { mLimits = aLimits; }
  /// Ends sending and reads what the peer still sends for a short time. Closing
  /// with unread bytes would reset the connection and could destroy the answer
  /// on its way.
  Awaitable<void> CloseAfterUnreadBody();

  asio::any_io_executor Executor() { return mStream.get_executor(); }
  tcp::endpoint Peer() const { return mPeer; }

private:
  using Parser = http::request_parser<http::buffer_body>;

  Awaitable<void> RefuseHeader(ErrorCode aError);
  void PrepareAnswer(ResponseHeader& aHeader);
  void OnReadable(const ErrorCode& aError);

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  HttpLimits mLimits;
  tcp::endpoint mPeer;
  std::optional<Parser> mParser;
  std::function<void()> mOnDisconnect;
  bool mWatching = false;
  bool mContinueSent = false;
  bool mAnswered = false;
  bool mChunked = false;
  bool mIdle = true;
  bool mAborted = false;
  bool mCloseAfterAnswer = false;
};

} // namespace pollenway
