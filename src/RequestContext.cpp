#include "RequestContext.h"

namespace pollenway {

namespace {

/// Bodies up to this size are buffered, so that the request can be retried.
constexpr size_t kMaxBufferedBodyBytes = 64 * 1024;

} // namespace

Awaitable<bool> BufferSmallBody(RequestContext& aRequest)
{
  const auto length = aRequest.mSource.BodyLength();
  if (!length || *length > kMaxBufferedBodyBytes) {
    aRequest.mSource.BeginStreaming();
    co_return true;
  }
  auto body = co_await aRequest.mSource.ReadBody(kMaxBufferedBodyBytes);
  if (!body) {
    co_return false;
  }
  aRequest.mBody = std::move(body.value());
  aRequest.mBodyBuffered = true;
  aRequest.mSource.WatchDisconnect([&aRequest] {
    aRequest.mCallerGone = true;
    if (aRequest.mCancel) {
      aRequest.mCancel();
    }
  });
  co_return true;
}

} // namespace pollenway
