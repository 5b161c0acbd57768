#include "ExchangeForwarder.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "Logger.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

AttemptFailure FailureOf(const ErrorCode& aError)
{
  return aError == beast::error::timeout ? AttemptFailure::Timeout
                                         : AttemptFailure::ConnectionLost;
}

} // namespace

ExchangeForwarder::ExchangeForwarder(HttpClientPool& aPool,
                                     ForwarderOptions aOptions)
  : mPool(aPool)
  , mOptions(aOptions)
{
}

Awaitable<AttemptResult> ExchangeForwarder::Forward(RequestContext& aRequest,
                                                    tcp::endpoint aEndpoint,
                                                    RequestHeader aHeader,
                                                    Duration aTimeout)
{
  AttemptResult result;
  const Duration maxIdle = aRequest.mExecution == RouteExecution::Idempotent
                             ? Duration::max()
                             : mOptions.mMaxIdleUnrepeatable;
  auto acquired = co_await mPool.Acquire(aEndpoint, maxIdle);
  if (!acquired) {
    result.mFailure = AttemptFailure::ConnectFailed;
    co_return result;
  }
  auto connection = std::move(acquired.value());
  if (aRequest.mCallerGone || aRequest.IsEndedByStop(SteadyNow())) {
    mPool.Release(aEndpoint, std::move(connection));
    result.mFailure = AttemptFailure::ConnectFailed;
    co_return result;
  }
  aRequest.mCancel = [&connection] { connection->Close(); };
  bool hasFinalHeader = false;
  co_await SendRequest(
    aRequest, *connection, std::move(aHeader), result, hasFinalHeader);
  if (!result.mFailure && !hasFinalHeader) {
    const ErrorCode ec = co_await connection->ReadHeader(aTimeout);
    if (ec) {
      result.mFailure = FailureOf(ec);
    }
  }
  if (!result.mFailure) {
    co_await ReceiveAnswer(aRequest, *connection, result);
  }
  aRequest.mCancel = nullptr;
  // The stop closed the connection; the target or peer has not failed.
  const bool isClosed = result.mFailure == AttemptFailure::ConnectionLost ||
                        result.mFailure == AttemptFailure::AnswerCut;
  if (isClosed && !result.mStreamed && aRequest.IsEndedByStop(SteadyNow())) {
    result.mFailure = AttemptFailure::Timeout;
  }
  if (connection->IsReusable()) {
    mPool.Release(aEndpoint, std::move(connection));
  }
  co_return result;
}

Awaitable<void> ExchangeForwarder::SendRequest(
  RequestContext& aRequest,
  HttpClientConnection& aConnection,
  RequestHeader aHeader,
  AttemptResult& aResult,
  bool& aHasFinalHeader)
{
  const Duration idle = aRequest.mIdleTimeout;
  ErrorCode ec;
  aResult.mBytesSent = true;
  if (aRequest.mBodyBuffered) {
    TextRequest request(std::move(aHeader));
    request.body() = aRequest.mBody;
    request.prepare_payload();
    ec = co_await aConnection.Write(std::move(request), idle);
    if (ec) {
      aResult.mFailure = FailureOf(ec);
    }
    co_return;
  }
  // Send the body only after the server has accepted the header: after a
  // refusal the body is still unread and can be sent to another target.
  aHeader.set(http::field::expect, "100-continue");
  const auto length = aRequest.mSource.BodyLength();
  if (length) {
    aHeader.set(http::field::content_length, std::to_string(*length));
  } else {
    aHeader.set(http::field::transfer_encoding, "chunked");
  }
  ec = co_await aConnection.WriteHeader(std::move(aHeader), idle);
  if (ec) {
    aResult.mFailure = FailureOf(ec);
    co_return;
  }
  const bool readable =
    co_await aConnection.WaitReadable(mOptions.mContinueTimeout);
  if (readable) {
    ec = co_await aConnection.ReadInterimHeader(idle);
    if (ec) {
      aResult.mFailure = FailureOf(ec);
      co_return;
    }
    if (!aConnection.IsContinue()) {
      aHasFinalHeader = true;
      co_return;
    }
  }
  std::string buf(mOptions.mChunkBytes, '\0');
  for (;;) {
    aRequest.mBodyConsumed = true;
    auto n = co_await aRequest.mSource.ReadSome(buf.data(), buf.size());
    if (!n) {
      aRequest.mCallerGone = true;
      aConnection.Close();
      aResult.mFailure = AttemptFailure::ConnectionLost;
      co_return;
    }
    if (n.value() == 0) {
      break;
    }
    ec = co_await aConnection.WriteSome(buf.data(), n.value(), idle);
    if (ec) {
      aResult.mFailure = FailureOf(ec);
      co_return;
    }
  }
  ec = co_await aConnection.FinishRequest(idle);
  if (ec) {
    aResult.mFailure = FailureOf(ec);
  }
}

Awaitable<void> ExchangeForwarder::ReceiveAnswer(
  RequestContext& aRequest,
  HttpClientConnection& aConnection,
  AttemptResult& aResult)
{
  const auto& head = aConnection.Header();
  const auto id = head[header::kRequestId];
  if (!id.empty() && id != aRequest.mId) {
    ++mMismatchedAnswers;
    Log(LogLevel::Warn,
        "mismatched_answer",
        { { "request", aRequest.mId }, { "answer", std::string(id) } });
    aConnection.Close();
    aResult.mFailure = AttemptFailure::AnswerCut;
    co_return;
  }
  aResult.mAnswer = TextResponse(head);
  RemoveHopFields(aResult.mAnswer);
  if (!mOptions.mIsPeer) {
    RemovePrivateFields(aResult.mAnswer);
  }
  std::string buf(16 * 1024, '\0');
  for (;;) {
    auto n = co_await aConnection.ReadSome(
      buf.data(), buf.size(), aRequest.mIdleTimeout);
    if (!n) {
      aResult.mFailure = AttemptFailure::AnswerCut;
      co_return;
    }
    if (n.value() == 0) {
      break;
    }
    aResult.mAnswer.body().append(buf, 0, n.value());
    if (aResult.mAnswer.body().size() > mOptions.mAnswerBufferBytes) {
      co_await StreamAnswer(aRequest, aConnection, aResult);
      co_return;
    }
  }
  const bool shed = !mOptions.mIsPeer &&
                    head.result() == http::status::service_unavailable &&
                    head[header::kNotRun] == "1";
  if (shed) {
    aResult.mFailure = AttemptFailure::Shed;
  }
}

Awaitable<void> ExchangeForwarder::StreamAnswer(
  RequestContext& aRequest,
  HttpClientConnection& aConnection,
  AttemptResult& aResult)
{
  ResponseHeader head = aResult.mAnswer.base();
  const auto length = aConnection.BodyLength();
  if (length) {
    head.set(http::field::content_length, std::to_string(*length));
  }
  aResult.mAnswerStarted = true;
  aResult.mStreamed = true;
  auto& source = aRequest.mSource;
  ErrorCode ec = co_await source.WriteHeader(std::move(head));
  if (!ec) {
    const std::string& buffered = aResult.mAnswer.body();
    ec = co_await source.WriteSome(buffered.data(), buffered.size());
  }
  aResult.mAnswer.body().clear();
  std::string buf(mOptions.mChunkBytes, '\0');
  while (!ec) {
    auto n = co_await aConnection.ReadSome(
      buf.data(), buf.size(), aRequest.mIdleTimeout);
    if (!n) {
      aResult.mFailure = AttemptFailure::AnswerCut;
      source.Abort();
      co_return;
    }
    if (n.value() == 0) {
      break;
    }
    ec = co_await source.WriteSome(buf.data(), n.value());
  }
  if (!ec) {
    ec = co_await source.FinishAnswer();
  }
  if (ec) {
    aRequest.mCallerGone = true;
    aConnection.Close();
    source.Abort();
  }
}

} // namespace pollenway
