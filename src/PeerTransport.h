#pragma once

#include "InstanceInfo.h"
#include "IpEndpoint.h"
#include "PeerLink.h"
#include "PeerMessage.h"

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
  /// Replies that came late, twice, or from another run of the peer.
  uint64_t mDroppedReplies = 0;
  uint64_t mRefusedFrames = 0;
  uint64_t mReplacedLinks = 0;
};

/// Sends requests and notices to peers over one kept TCP link each, and serves
/// theirs. Replies are matched by request id and incarnation.
class PeerTransport
{
public:
  /// Gives the answer to a request, or none. Notices (request id 0) get none.
  /// Also gets the replies to messages that `SendMessage` sent.
  using Handler =
    std::function<Awaitable<std::optional<PeerBody>>(PeerMessage)>;

  PeerTransport(asio::any_io_executor aExecutor,
                InstanceInfo aSelf,
                Handler aHandler);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort);

  /// Sends a request and waits for its reply. `PeerUnavailable` if none comes
  /// in time; the request may then have been handled or not.
  Awaitable<Result<PeerMessage>> Call(IpEndpoint aPeer,
                                      Incarnation aReceiver,
                                      PeerBody aBody,
                                      Duration aTimeout);
  /// Sends a notice without a reply; lost if the peer can't be reached or is
  /// not the run `aReceiver`, unless that is 0.
  void Notify(IpEndpoint aPeer, PeerBody aBody, Incarnation aReceiver = 0);
  /// Like `Notify`, over the last link on which `aTo` has sent something. For
  /// replies to instances that no zone view lists, as they join or leave.
  void NotifySender(const InstanceName& aTo,
                    PeerBody aBody,
                    Incarnation aReceiver);
  /// Sends a message whose envelope another part has filled in. Without an
  /// address it goes back on the link on which `aTo` last sent.
  void SendMessage(const InstanceName& aTo,
                   const std::optional<IpEndpoint>& aPeer,
                   const PeerMessage& aMessage);
  /// This process has joined its zone as a new run.
  void SetIncarnation(Incarnation aIncarnation);

  /// Closes the link to a peer; the next message connects anew.
  void CloseLink(const IpEndpoint& aPeer);
  /// Closes links on which nothing arrived for `aSilenceTimeout` although a
  /// call is open, and links that have been idle for a minute; the next call
  /// connects anew.
  void CloseSilentLinks(Duration aSilenceTimeout);
  void Stop();
  const PeerStatistics& Statistics() const { return mStatistics; }

private:
  /// Calls use the upper half of the request ids, so that replies to messages
  /// of `SendMessage` can be told apart.
  static constexpr uint64_t kFirstCallId = uint64_t(1) << 62;

  struct PendingCall;
  struct OutboundLink
  {
    std::shared_ptr<PeerLink> mLink;
    bool mConnecting = false;
    std::vector<std::string> mQueuedFrames;
    /// When the oldest call without a reply was sent.
    std::optional<TimePoint> mUnansweredSince;
  };

  void SendTo(const IpEndpoint& aPeer, std::string aFrame);
  Awaitable<void> ConnectTo(IpEndpoint aPeer);
  /// Ends the calls to a peer that can't be connected to, without waiting for
  /// their time-outs.
  void FailCalls(const IpEndpoint& aPeer);
  Awaitable<void> Accept();
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
  std::unordered_map<InstanceName, std::weak_ptr<PeerLink>> mLastLinks;
  std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> mPending;
  uint64_t mNextRequestId = kFirstCallId;
  PeerStatistics mStatistics;
  bool mStopping = false;
};

} // namespace pollenway
