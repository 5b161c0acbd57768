#pragma once

#include "AttemptResult.h"
#include "HttpClientPool.h"
#include "RequestContext.h"

namespace pollenway {

struct ForwarderOptions
{
  /// Answers up to this size are kept whole before any byte is passed on, so
  /// that a cut one can be retried or refused instead of being passed off as
  /// complete.
  size_t mAnswerBufferBytes = 256 * 1024;
  size_t mChunkBytes = 64 * 1024;
  /// How long a server may take to answer "Expect: 100-continue" before the
  /// body is sent all the same.
  Duration mContinueTimeout = std::chrono::seconds(1);
  /// An idle connection older than this may be just about to be closed by the
  /// server, which would leave the outcome of the request unknown.
  Duration mMaxIdleUnrepeatable = std::chrono::seconds(1);
  /// Whether the server is a peer, whose relay fields are to be trusted.
  bool mIsPeer = false;
};

/// Passes a request to a server (a backend server or a peer's relay port) and
/// its answer back. Bodies that are not kept are streamed.
class ExchangeForwarder
{
public:
  ExchangeForwarder(HttpClientPool& aPool, ForwarderOptions aOptions);

  /// One attempt. `aHeader` is sent as it is but for the body's length.
  /// `aTimeout` bounds the wait for the answer's header.
  Awaitable<AttemptResult> Forward(RequestContext& aRequest,
                                   tcp::endpoint aEndpoint,
                                   RequestHeader aHeader,
                                   Duration aTimeout);

  /// Answers that carried another request's id.
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
