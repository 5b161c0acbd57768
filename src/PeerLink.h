#pragma once

#include "ByteBudget.h"
#include "FrameDecoder.h"
#include "HttpTypes.h"
#include "Ids.h"
#include "Time.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace pollenway {

/// A TCP connection to or from a peer that carries complete frames in both
/// directions.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  using FrameHandler =
    std::function<void(const std::shared_ptr<PeerLink>&, std::string)>;

  PeerLink(tcp::socket aSocket, FrameHandler aHandler);

  /// Connects. Returns false if the connection is refused or takes longer than
  /// `aTimeout`.
  Awaitable<bool> Connect(tcp::endpoint aEndpoint, Duration aTimeout);
  /// Starts to read frames until the connection ends. Call once after
  /// connecting.
  void Start();
  /// Limits the memory of long frames that have arrived in part, over all links
  /// with the same budget. A link for which there is none left is closed. Call
  /// before `Start`.
  void LimitFrameMemory(std::shared_ptr<ByteBudget> aMemory)
  {
    mFrameMemory = std::move(aMemory);
  }
  /// Queues a frame that starts with its length field. Returns false, without
  /// sending it, if the link is closed or the queue is full; a full queue
  /// closes the link.
  bool Send(std::string aFrame);
  void Close();
  bool IsOpen() const { return !mClosed; }
  /// Returns the time at which the last data arrived or the link was opened.
  TimePoint LastReceivedAt() const { return mLastReceivedAt; }
  /// The sender of the last message; empty before the first one.
  const InstanceName& Sender() const { return mSender; }
  void SetSender(InstanceName aSender) { mSender = std::move(aSender); }

private:
  Awaitable<void> ReadLoop();
  Awaitable<void> WriteLoop();
  /// Returns false if there is no memory for what has arrived.
  bool ReserveFrameMemory();

  tcp::socket mSocket;
  FrameHandler mHandler;
  FrameDecoder mDecoder;
  std::shared_ptr<ByteBudget> mFrameMemory;
  ByteBudget::Reservation mReservedFrame;
  std::deque<std::string> mQueue;
  size_t mQueuedBytes = 0;
  TimePoint mLastReceivedAt{};
  InstanceName mSender;
  bool mWriting = false;
  bool mClosed = false;
};

} // namespace pollenway
