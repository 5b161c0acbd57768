#pragma once

#include "InstanceInfo.h"
#include "IpEndpoint.h"
#include "PeerLink.h"
#include "PeerMessage.h"

#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// Counters of one process's peer messages.
struct PeerStatistics
{
  uint64_t mSent = 0;
  uint64_t mReceived = 0;
  uint64_t mBytesSent = 0;
  uint64_t mBytesReceived = 0;
  /// Replies that were late, duplicated or from another incarnation of the
  /// peer, and messages for an earlier incarnation of this instance.
  uint64_t mDroppedReplies = 0;
  uint64_t mRefusedFrames = 0;
  uint64_t mReplacedLinks = 0;
};

/// Sends requests and notices to peers over one persistent TCP link each, and
/// serves theirs. Replies are matched by request id and incarnation.
class PeerTransport
{
public:
  /// Returns the answer to a request, or none. Notices (request id 0) get no
  /// answer. Also called with the replies to messages sent by `SendMessage`.
  using Handler =
    std::function<Awaitable<std::optional<PeerBody>>(PeerMessage)>;

  PeerTransport(asio::any_io_executor aExecutor,
                InstanceInfo aSelf,
                Handler aHandler);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort);

  /// Limits the links from peers. Beyond it, the link is closed on which
  /// nothing has arrived for longest.
  void SetMaxInboundLinks(size_t aCount) { mMaxInboundLinks = aCount; }
  /// Limits the memory of long frames that have arrived in part on links from
  /// peers. Beyond it, the link is closed.
  void SetFrameMemory(uint64_t aBytes)
  {
    mFrameMemory = std::make_shared<ByteBudget>(aBytes);
  }

  /// Sends a request and waits for its reply. Errors: PeerUnavailable if no
  /// reply arrives in time; the request may or may not have been handled.
  Awaitable<Result<PeerMessage>> Call(IpEndpoint aPeer,
                                      Incarnation aReceiver,
                                      PeerBody aBody,
                                      Duration aTimeout);
  /// Sends a notice, which gets no reply. It is lost if the peer can't be
  /// reached or if `aReceiver` is not 0 and not the peer's incarnation.
  void Notify(IpEndpoint aPeer, PeerBody aBody, Incarnation aReceiver = 0);
  /// Like `Notify`, over the last link on which `aTo` sent a message. For
  /// replies to instances that no zone view lists because they are joining or
  /// leaving.
  void NotifySender(const InstanceName& aTo,
                    PeerBody aBody,
                    Incarnation aReceiver);
  /// Sends a message whose envelope the caller has filled in. Without an
  /// address, it is sent on the link on which `aTo` last sent a message.
  void SendMessage(const InstanceName& aTo,
                   const std::optional<IpEndpoint>& aPeer,
                   const PeerMessage& aMessage);
  /// Called when this process has joined its zone with a new incarnation.
  void SetIncarnation(Incarnation aIncarnation);

  /// Closes the link to a peer; the next message opens a new one.
  void CloseLink(const IpEndpoint& aPeer);
  /// Closes links on which nothing arrived for `aSilenceTimeout` while a call
  /// is pending, and links that have been idle for a minute. The next message
  /// opens a new link.
  void CloseSilentLinks(Duration aSilenceTimeout);
  void Stop();
  const PeerStatistics& Statistics() const { return mStatistics; }

private:
  /// First request id of calls. Lower ids belong to messages of `SendMessage`.
  static constexpr uint64_t kFirstCallId = uint64_t(1) << 62;
  static constexpr uint64_t kDefaultFrameMemory = 16 * 1024 * 1024;

  struct PendingCall;
  struct OutboundLink
  {
    std::shared_ptr<PeerLink> mLink;
    bool mConnecting = false;
    std::vector<std::string> mQueuedFrames;
    /// Time at which the oldest call without a reply was sent.
    std::optional<TimePoint> mUnansweredSince;
  };

  void SendTo(const IpEndpoint& aPeer, std::string aFrame);
  Awaitable<void> ConnectTo(IpEndpoint aPeer);
  /// Fails the pending calls to a peer without waiting for their time-outs.
  /// Called when the connection attempt has failed.
  void FailCalls(const IpEndpoint& aPeer);
  Awaitable<void> Accept();
  /// Closes links from peers until there is room for another one.
  void MakeRoomForLink();
  /// Makes `aLink` the last link of `aSender`. Only the last sender of each
  /// link is kept, so that names that don't exist take no memory.
  void RememberSender(const std::shared_ptr<PeerLink>& aLink,
                      const InstanceName& aSender);
  void OnFrame(const std::shared_ptr<PeerLink>& aLink, std::string aFrame);
  void OnReply(const std::shared_ptr<PeerLink>& aLink, PeerMessage aMessage);
  Awaitable<void> Serve(std::shared_ptr<PeerLink> aLink, PeerMessage aMessage);
  PeerMessage MakeMessage(PeerBody aBody) const;
  PeerLink::FrameHandler FrameHandler();

  asio::any_io_executor mExecutor;
  InstanceInfo mSelf;
  Handler mHandler;
  tcp::acceptor mAcceptor;
  std::map<IpEndpoint, OutboundLink> mLinks;
  std::vector<std::weak_ptr<PeerLink>> mInbound;
  std::shared_ptr<ByteBudget> mFrameMemory =
    std::make_shared<ByteBudget>(kDefaultFrameMemory);
  size_t mMaxInboundLinks = std::numeric_limits<size_t>::max();
  std::unordered_map<InstanceName, std::weak_ptr<PeerLink>> mLastLinks;
  std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> mPending;
  uint64_t mNextRequestId = kFirstCallId;
  PeerStatistics mStatistics;
  bool mStopping = false;
};

} // namespace pollenway
