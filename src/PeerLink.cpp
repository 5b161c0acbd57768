#include "PeerLink.h"

#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace pollenway {

namespace {

/// Limits the memory for a peer that does not read; the link is closed if its
/// queue would exceed this.
constexpr size_t kMaxQueuedBytes = 8 * 1024 * 1024;
constexpr size_t kReadBytes = 32 * 1024;
/// Partial frames up to this size need no reserved memory.
constexpr size_t kUnreservedFrameBytes = 64 * 1024;

} // namespace

PeerLink::PeerLink(tcp::socket aSocket, FrameHandler aHandler)
  : mSocket(std::move(aSocket))
  , mHandler(std::move(aHandler))
  , mLastReceivedAt(SteadyNow())
{
}

Awaitable<bool> PeerLink::Connect(tcp::endpoint aEndpoint, Duration aTimeout)
{
  auto self = shared_from_this();
  asio::steady_timer timer(mSocket.get_executor(), aTimeout);
  timer.async_wait([self](const ErrorCode& aError) {
    if (!aError) {
      self->Close();
    }
  });
  ErrorCode ec;
  co_await mSocket.async_connect(aEndpoint, Into(ec));
  timer.cancel();
  if (ec || mClosed) {
    Close();
    co_return false;
  }
  mLastReceivedAt = SteadyNow();
  co_return true;
}

void PeerLink::Start()
{
  ErrorCode ec;
  mSocket.set_option(tcp::no_delay(true), ec);
  Spawn(mSocket.get_executor(),
        [self = shared_from_this()]() -> Awaitable<void> {
          co_await self->ReadLoop();
        });
}

Awaitable<void> PeerLink::ReadLoop()
{
  auto self = shared_from_this();
  std::string buf(kReadBytes, '\0');
  while (!mClosed) {
    ErrorCode ec;
    const size_t n = co_await mSocket.async_read_some(
      asio::buffer(buf.data(), buf.size()), Into(ec));
    if (ec) {
      break;
    }
    mLastReceivedAt = SteadyNow();
    mDecoder.Feed(std::string_view(buf.data(), n));
    for (;;) {
      auto next = mDecoder.Next();
      if (!next) {
        Log(LogLevel::Warn,
            "peer_frame_refused",
            { { "detail", next.error().mDetail } });
        Close();
        break;
      }
      if (!next.value()) {
        break;
      }
      mHandler(self, std::move(*next.value()));
    }
    mDecoder.ReleaseUnused();
    if (!ReserveFrameMemory()) {
      Log(LogLevel::Warn,
          "peer_frame_refused",
          { { "detail", "the memory for frames is used up" } });
      break;
    }
  }
  Close();
}

bool PeerLink::ReserveFrameMemory()
{
  const size_t size = mDecoder.Capacity();
  if (!mFrameMemory || size <= kUnreservedFrameBytes) {
    mReservedFrame = {};
    return true;
  }
  return mFrameMemory->Resize(mReservedFrame, size);
}

bool PeerLink::Send(std::string aFrame)
{
  if (mClosed) {
    return false;
  }
  if (mQueuedBytes + aFrame.size() > kMaxQueuedBytes) {
    Close();
    return false;
  }
  mQueuedBytes += aFrame.size();
  mQueue.push_back(std::move(aFrame));
  if (!mWriting) {
    mWriting = true;
    Spawn(mSocket.get_executor(),
          [self = shared_from_this()]() -> Awaitable<void> {
            co_await self->WriteLoop();
          });
  }
  return true;
}

Awaitable<void> PeerLink::WriteLoop()
{
  auto self = shared_from_this();
  while (!mClosed && !mQueue.empty()) {
    // Frames that were queued during the last write are sent in one write.
    std::string batch;
    while (!mQueue.empty()) {
      batch += mQueue.front();
      mQueue.pop_front();
    }
    ErrorCode ec;
    co_await asio::async_write(mSocket, asio::buffer(batch), Into(ec));
    mQueuedBytes -= batch.size();
    if (ec) {
      Close();
    }
  }
  mWriting = false;
}

void PeerLink::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  ErrorCode ec;
  mSocket.close(ec);
}

} // namespace pollenway
