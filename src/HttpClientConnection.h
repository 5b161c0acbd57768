#pragma once

#include "HttpTypes.h"
#include "Result.h"
#include "Time.h"

#include <memory>
#include <optional>

namespace pollenway {

/// Client side of one HTTP/1.1 connection: one exchange at a time, bodies
/// streamed. Not reused after any error or time-out.
class HttpClientConnection
{
public:
  explicit HttpClientConnection(asio::any_io_executor aExecutor);

  /// Connects from this local address instead of one that the system chooses.
  /// Call before `Connect`, which reports an address that can't be bound.
  void BindTo(asio::ip::address aLocalAddress)
  {
    mLocalAddress = aLocalAddress;
  }

  /// Connects. `PeerUnavailable` if it is refused or takes too long.
  Awaitable<Result<void>> Connect(tcp::endpoint aEndpoint, Duration aTimeout);

  /// No request has been sent on it yet.
  bool IsNew() const { return mBytesSent == 0; }
  /// Bytes of the current request handed to the socket.
  uint64_t BytesSent() const { return mBytesSent; }

  Awaitable<ErrorCode> WriteHeader(RequestHeader aHeader, Duration aTimeout);
  Awaitable<ErrorCode> WriteSome(const char* aData,
                                 size_t aSize,
                                 Duration aTimeout);
  Awaitable<ErrorCode> FinishRequest(Duration aTimeout);
  /// Writes header and body in one piece.
  Awaitable<ErrorCode> Write(TextRequest aRequest, Duration aTimeout);
  /// Writes a request and reads the answer's header at the same time, so that
  /// an answer to the first part of a long body is seen. `aTimeout` holds for
  /// both. The connection is reusable only if the whole request was written.
  Awaitable<ErrorCode> WriteAndReadHeader(
    std::shared_ptr<const TextRequest> aRequest,
    Duration aTimeout);

  /// Waits until the peer sends something, at most `aTimeout`. Unlike the
  /// other calls, running out of time leaves the connection usable.
  Awaitable<bool> WaitReadable(Duration aTimeout);
  /// Reads one header, which may be "100 Continue".
  Awaitable<ErrorCode> ReadInterimHeader(Duration aTimeout);
  bool IsContinue() const;
  /// Reads the answer's header; skips "100 Continue".
  Awaitable<ErrorCode> ReadHeader(Duration aTimeout);
  const ResponseHeader& Header() const;
  std::optional<uint64_t> BodyLength() const;
  /// Bytes read; 0 at the end of the answer. `AnswerIncomplete` if it is cut.
  Awaitable<Result<size_t>> ReadSome(char* aData,
                                     size_t aSize,
                                     Duration aTimeout);
  bool IsAnswerDone() const { return mParser && mParser->is_done(); }

  /// True if the exchange ended cleanly and both sides keep the connection.
  bool IsReusable() const;
  /// True if the peer closed the idle connection or sent unexpected bytes.
  bool IsStale();
  void SetMethodIsHead(bool aIsHead) { mIsHead = aIsHead; }
  void Close();

private:
  using Parser = http::response_parser<http::buffer_body>;
  /// Outlives the connection if a write is under way when it is closed.
  struct PendingWrite
  {
    bool mDone = false;
  };

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<asio::ip::address> mLocalAddress;
  std::optional<Parser> mParser;
  uint64_t mBytesSent = 0;
  bool mChunked = false;
  bool mFailed = false;
  bool mRequestDone = false;
  std::shared_ptr<PendingWrite> mPendingWrite;
  bool mIsHead = false;
};

} // namespace pollenway
