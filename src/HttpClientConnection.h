#pragma once

#include "HttpTypes.h"
#include "Result.h"
#include "SharedRequest.h"
#include "Time.h"

#include <chrono>
#include <memory>
#include <optional>

namespace pollenway {

/// Client side of one HTTP/1.1 connection. Handles one exchange at a time and
/// streams bodies. Not reused after an error or a time-out.
class HttpClientConnection
{
public:
  explicit HttpClientConnection(asio::any_io_executor aExecutor);

  /// Binds the connection to a local address instead of one that the system
  /// chooses. Call before `Connect`, which reports an address that can't be
  /// bound.
  void BindTo(asio::ip::address aLocalAddress)
  {
    mLocalAddress = aLocalAddress;
  }

  /// Connects. Errors: PeerUnavailable if the connection is refused or takes
  /// longer than `aTimeout`.
  Awaitable<Result<void>> Connect(tcp::endpoint aEndpoint, Duration aTimeout);

  /// Returns true if no request has been sent on this connection.
  bool IsNew() const { return mBytesSent == 0; }
  /// Returns 0 if no byte of the current request was handed to the socket.
  /// Otherwise, returns 1 for the header plus the body bytes of `WriteSome`.
  uint64_t BytesSent() const { return mBytesSent; }

  Awaitable<ErrorCode> WriteHeader(RequestHeader aHeader, Duration aTimeout);
  Awaitable<ErrorCode> WriteSome(const char* aData,
                                 size_t aSize,
                                 Duration aTimeout);
  Awaitable<ErrorCode> FinishRequest(Duration aTimeout);
  /// Writes header and body together.
  Awaitable<ErrorCode> Write(TextRequest aRequest, Duration aTimeout);
  /// Writes a request and reads the answer's header at the same time, so that
  /// an answer to the first part of a long body is seen. `aTimeout` covers
  /// both. The connection is reusable only if the whole request was written.
  Awaitable<ErrorCode> WriteAndReadHeader(
    std::shared_ptr<const SharedRequest> aRequest,
    Duration aTimeout);

  /// Waits until the peer sends something, at most `aTimeout`. Unlike with the
  /// other calls, the connection stays usable after the time-out.
  Awaitable<bool> WaitReadable(Duration aTimeout);
  /// Reads the answer's header, or "100 Continue" if that comes first. Skips
  /// other interim answers.
  Awaitable<ErrorCode> ReadInterimHeader(Duration aTimeout);
  bool IsContinue() const;
  /// Reads the answer's header and skips interim answers. Errors: bad_status if
  /// the status is no valid one of HTTP, or switches to another protocol.
  Awaitable<ErrorCode> ReadHeader(Duration aTimeout);
  const ResponseHeader& Header() const;
  std::optional<uint64_t> BodyLength() const;
  /// Reads up to `aSize` body bytes. Returns the number read, 0 at the end of
  /// the answer. Errors: AnswerIncomplete if the answer is truncated, also by a
  /// reset that the write of the request has met.
  Awaitable<Result<size_t>> ReadSome(char* aData,
                                     size_t aSize,
                                     Duration aTimeout);
  bool IsAnswerDone() const { return mParser && mParser->is_done(); }

  /// Returns true if the exchange is complete and both sides keep the
  /// connection open.
  bool IsReusable() const;
  /// Returns true if the peer closed the idle connection or sent unexpected
  /// bytes.
  bool IsStale();
  /// Time since which the connection has been idle; empty if something has been
  /// written since it was taken from its pool.
  std::optional<std::chrono::steady_clock::time_point> IdleSince() const
  {
    return mIdleSince;
  }
  void SetIdleSince(std::chrono::steady_clock::time_point aTime)
  {
    mIdleSince = aTime;
  }
  void SetMethodIsHead(bool aIsHead) { mIsHead = aIsHead; }
  void Close();

private:
  static constexpr size_t kMaxBufferedBytes = 128 * 1024;

  using Parser = http::response_parser<http::buffer_body>;
  /// Outlives the connection if it is closed during a write.
  struct PendingWrite
  {
    bool mDone = false;
    /// True if the connection broke before the peer had ended its side.
    bool mConnectionBroke = false;
  };

  /// The header at which reading ends.
  enum class LastHeader
  {
    Final,
    Continue,
  };

  /// Returns true if the answer ends with its connection, and the connection
  /// broke instead of being ended by the peer.
  bool IsEndBroken() const;
  /// Reads until the parser has a whole header. Errors: bad_value for a folded
  /// field.
  Awaitable<ErrorCode> ParseHeader();
  Awaitable<ErrorCode> ReadOneHeader(Duration aTimeout);
  Awaitable<ErrorCode> ReadHeaderUntil(TimePoint aUntil, LastHeader aLast);

  beast::tcp_stream mStream;
  /// Bounded, because a peer could send a chunk extension or a trailer without
  /// end.
  beast::flat_buffer mBuffer{ kMaxBufferedBytes };
  std::optional<asio::ip::address> mLocalAddress;
  std::optional<Parser> mParser;
  uint64_t mBytesSent = 0;
  bool mChunked = false;
  bool mFailed = false;
  bool mRequestDone = false;
  std::optional<std::chrono::steady_clock::time_point> mIdleSince;
  std::shared_ptr<PendingWrite> mPendingWrite;
  bool mIsHead = false;
};

} // namespace pollenway
