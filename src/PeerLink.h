#pragma once

#include "FrameDecoder.h"
#include "HttpTypes.h"
#include "Time.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace pollenway {

/// One TCP connection to or from a peer that carries whole frames both ways.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  using FrameHandler =
    std::function<void(const std::shared_ptr<PeerLink>&, std::string)>;

  PeerLink(tcp::socket aSocket, FrameHandler aHandler);

  /// Connects. False if it is refused or takes longer than `aTimeout`.
  Awaitable<bool> Connect(tcp::endpoint aEndpoint, Duration aTimeout);
  /// Reads frames until the connection ends; call once after connecting.
  void Start();
  /// Queues a frame with its length field. False if the link is closed or the
  /// queue is full; the frame is then not sent.
  bool Send(std::string aFrame);
  void Close();
  bool IsOpen() const { return !mClosed; }
  /// When the last frame arrived, or the link was opened.
  TimePoint LastReceivedAt() const { return mLastReceivedAt; }

private:
  Awaitable<void> ReadLoop();
  Awaitable<void> WriteLoop();

  tcp::socket mSocket;
  FrameHandler mHandler;
  FrameDecoder mDecoder;
  std::deque<std::string> mQueue;
  size_t mQueuedBytes = 0;
  TimePoint mLastReceivedAt{};
  bool mWriting = false;
  bool mClosed = false;
};

} // namespace pollenway
