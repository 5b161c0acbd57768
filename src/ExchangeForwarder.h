#pragma once

#include "AttemptResult.h"
#include "HttpClientPool.h"
#include "RequestContext.h"

namespace pollenway {

struct ForwarderOptions
{
  /// Answers up to this size are buffered completely before any byte is passed
  /// on, so that a truncated answer can be retried or refused instead of being
  /// passed on as complete.
  size_t mAnswerBufferBytes = 256 * 1024;
  size_t mChunkBytes = 64 * 1024;
  /// Time that a server may take to answer "Expect: 100-continue" before the
  /// body is sent anyway.
  Duration mContinueTimeout = std::chrono::seconds(1);
  /// Maximum idle time of a connection that is used for an unrepeatable
  /// request. The server may be about to close an older one, which would leave
  /// the outcome of the request unknown.
  Duration mMaxIdleUnrepeatable = std::chrono::seconds(1);
  /// True if the server is a peer, whose relay fields are trusted.
  bool mIsPeer = false;
};

/// Forwards a request to a server (a backend server or a peer's relay port) and
/// passes its answer back. Bodies that are not buffered are streamed.
class ExchangeForwarder
{
public:
  ExchangeForwarder(HttpClientPool& aPool, ForwarderOptions aOptions);

  /// Makes one attempt. `aHeader` is sent unchanged except for the body's
  /// length. `aTimeout` limits the wait for the answer's header.
  Awaitable<AttemptResult> Forward(RequestContext& aRequest,
                                   tcp::endpoint aEndpoint,
                                   RequestHeader aHeader,
                                   Duration aTimeout);

  /// Returns the number of answers that carried another request's id.
  uint64_t MismatchedAnswers() const { return mMismatchedAnswers; }

private:
  Awaitable<void> SendRequest(RequestContext& aRequest,
                              HttpClientConnection& aConnection,
                              RequestHeader aHeader,
                              AttemptResult& aResult,
                              bool& aHasFinalHeader);
  Awaitable<void> ReceiveAnswer(RequestContext& aRequest,
                                HttpClientConnection& aConnection,
                                AttemptResult& aResult);
  Awaitable<void> StreamAnswer(RequestContext& aRequest,
                               HttpClientConnection& aConnection,
                               AttemptResult& aResult);

  HttpClientPool& mPool;
  ForwarderOptions mOptions;
  uint64_t mMismatchedAnswers = 0;
};

} // namespace pollenway
