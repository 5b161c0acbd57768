#include "PeerTransport.h"

#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"
#include "TcpListen.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace pollenway {

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kMaxIdleTime = std::chrono::seconds(60);
/// Maximum number of frames queued while a link is being connected.
constexpr size_t kMaxQueuedFrames = 1024;

tcp::endpoint ToTcp(const IpEndpoint& aPeer)
{
  return { asio::ip::make_address(aPeer.mAddress), aPeer.mPort };
}

} // namespace

struct PeerTransport::PendingCall
{
  PendingCall(asio::any_io_executor aExecutor, Duration aTimeout)
    : mTimer(aExecutor, aTimeout)
  {
  }

  asio::steady_timer mTimer;
  IpEndpoint mPeer;
  Incarnation mReceiver = 0;
  std::optional<PeerMessage> mReply;
};

PeerTransport::PeerTransport(asio::any_io_executor aExecutor,
                             InstanceInfo aSelf,
                             Handler aHandler)
  : mExecutor(aExecutor)
  , mSelf(std::move(aSelf))
  , mHandler(std::move(aHandler))
  , mAcceptor(aExecutor)
{
}

Result<void> PeerTransport::Listen(const std::string& aAddress, uint16_t aPort)
{
  BOOST_OUTCOME_TRYV(ListenOn(mAcceptor, aAddress, aPort));
  Spawn(mExecutor, Accept());
  return outcome::success();
}

PeerLink::FrameHandler PeerTransport::FrameHandler()
{
  return [this](const std::shared_ptr<PeerLink>& aLink, std::string aFrame) {
    OnFrame(aLink, std::move(aFrame));
  };
}

Awaitable<void> PeerTransport::Accept()
{
  while (!mStopping) {
    ErrorCode ec;
    tcp::socket socket(mExecutor);
    co_await mAcceptor.async_accept(socket, Into(ec));
    if (ec == asio::error::operation_aborted || mStopping) {
      co_return;
    }
    if (ec) {
      asio::steady_timer timer(mExecutor, std::chrono::milliseconds(20));
      co_await timer.async_wait(Into(ec));
      continue;
    }
    auto link = std::make_shared<PeerLink>(std::move(socket), FrameHandler());
    link->LimitFrameMemory(mFrameMemory);
    MakeRoomForLink();
    mInbound.push_back(link);
    link->Start();
  }
}

void PeerTransport::MakeRoomForLink()
{
  std::erase_if(mInbound, [](const auto& aLink) {
    const auto link = aLink.lock();
    return !link || !link->IsOpen();
  });
  std::erase_if(mLastLinks, [](const auto& aEntry) {
    const auto link = aEntry.second.lock();
    return !link || !link->IsOpen();
  });
  while (!mInbound.empty() && mInbound.size() >= mMaxInboundLinks) {
    const auto oldest = std::min_element(
      mInbound.begin(), mInbound.end(), [](const auto& aA, const auto& aB) {
        return aA.lock()->LastReceivedAt() < aB.lock()->LastReceivedAt();
      });
    oldest->lock()->Close();
    ++mStatistics.mReplacedLinks;
    mInbound.erase(oldest);
  }
}

PeerMessage PeerTransport::MakeMessage(PeerBody aBody) const
{
  PeerMessage message;
  message.mSender = mSelf.mName;
  message.mIncarnation = mSelf.mIncarnation;
  message.mBody = std::move(aBody);
  return message;
}

Awaitable<Result<PeerMessage>> PeerTransport::Call(IpEndpoint aPeer,
                                                   Incarnation aReceiver,
                                                   PeerBody aBody,
                                                   Duration aTimeout)
{
  PeerMessage message = MakeMessage(std::move(aBody));
  message.mRequestId = mNextRequestId++;
  message.mReceiverIncarnation = aReceiver;
  auto frame = EncodePeerFrame(message);
  if (!frame) {
    co_return frame.error();
  }
  auto pending = std::make_shared<PendingCall>(mExecutor, aTimeout);
  pending->mPeer = aPeer;
  pending->mReceiver = aReceiver;
  mPending[message.mRequestId] = pending;
  auto& link = mLinks[aPeer];
  if (!link.mUnansweredSince) {
    link.mUnansweredSince = SteadyNow();
  }
  SendTo(aPeer, std::move(frame.value()));
  ErrorCode ec;
  co_await pending->mTimer.async_wait(Into(ec));
  mPending.erase(message.mRequestId);
  if (!pending->mReply) {
    co_return Error{ ResultCode::PeerUnavailable,
                     "no reply from " + aPeer.mAddress,
                     {} };
  }
  co_return std::move(*pending->mReply);
}

void PeerTransport::Notify(IpEndpoint aPeer,
                           PeerBody aBody,
                           Incarnation aReceiver)
{
  PeerMessage message = MakeMessage(std::move(aBody));
  message.mReceiverIncarnation = aReceiver;
  auto frame = EncodePeerFrame(message);
  if (frame) {
    SendTo(aPeer, std::move(frame.value()));
  }
}

void PeerTransport::NotifySender(const InstanceName& aTo,
                                 PeerBody aBody,
                                 Incarnation aReceiver)
{
  PeerMessage message = MakeMessage(std::move(aBody));
  message.mReceiverIncarnation = aReceiver;
  SendMessage(aTo, std::nullopt, message);
}

void PeerTransport::SendMessage(const InstanceName& aTo,
                                const std::optional<IpEndpoint>& aPeer,
                                const PeerMessage& aMessage)
{
  auto frame = EncodePeerFrame(aMessage);
  if (!frame) {
    return;
  }
  if (aPeer) {
    SendTo(*aPeer, std::move(frame.value()));
    return;
  }
  const auto it = mLastLinks.find(aTo);
  const auto link = it == mLastLinks.end() ? nullptr : it->second.lock();
  if (link) {
    ++mStatistics.mSent;
    mStatistics.mBytesSent += frame.value().size();
    link->Send(std::move(frame.value()));
  }
}

void PeerTransport::SetIncarnation(Incarnation aIncarnation)
{
  mSelf.mIncarnation = aIncarnation;
}

void PeerTransport::SendTo(const IpEndpoint& aPeer, std::string aFrame)
{
  ++mStatistics.mSent;
  mStatistics.mBytesSent += aFrame.size();
  auto& out = mLinks[aPeer];
  if (out.mLink && out.mLink->IsOpen() && !out.mConnecting) {
    out.mLink->Send(std::move(aFrame));
    return;
  }
  if (out.mQueuedFrames.size() < kMaxQueuedFrames) {
    out.mQueuedFrames.push_back(std::move(aFrame));
  }
  if (!out.mConnecting) {
    out.mConnecting = true;
    Spawn(mExecutor, ConnectTo(aPeer));
  }
}

Awaitable<void> PeerTransport::ConnectTo(IpEndpoint aPeer)
{
  auto link =
    std::make_shared<PeerLink>(tcp::socket(mExecutor), FrameHandler());
  const bool connected = co_await link->Connect(ToTcp(aPeer), kConnectTimeout);
  auto& out = mLinks[aPeer];
  out.mConnecting = false;
  // Frames queued for a failed connection are discarded: their calls fail, and
  // senders repeat their notices.
  auto frames = std::exchange(out.mQueuedFrames, {});
  if (!connected || mStopping) {
    link->Close();
    FailCalls(aPeer);
    co_return;
  }
  out.mLink = link;
  link->Start();
  for (auto& it : frames) {
    link->Send(std::move(it));
  }
}

void PeerTransport::FailCalls(const IpEndpoint& aPeer)
{
  for (const auto& [id, call] : mPending) {
    if (call->mPeer == aPeer) {
      call->mTimer.cancel();
    }
  }
}

void PeerTransport::RememberSender(const std::shared_ptr<PeerLink>& aLink,
                                   const InstanceName& aSender)
{
  if (aLink->Sender() != aSender) {
    const auto it = mLastLinks.find(aLink->Sender());
    if (it != mLastLinks.end() && it->second.lock() == aLink) {
      mLastLinks.erase(it);
    }
    aLink->SetSender(aSender);
  }
  mLastLinks[aSender] = aLink;
}

void PeerTransport::OnFrame(const std::shared_ptr<PeerLink>& aLink,
                            std::string aFrame)
{
  ++mStatistics.mReceived;
  mStatistics.mBytesReceived += aFrame.size();
  auto message = DecodePeerMessage(aFrame);
  if (!message) {
    ++mStatistics.mRefusedFrames;
    Log(LogLevel::Warn,
        "peer_message_refused",
        { { "code", int(message.error().mCode) },
          { "detail", message.error().mDetail } });
    aLink->Close();
    return;
  }
  RememberSender(aLink, message.value().mSender);
  if (message.value().mIsReply) {
    OnReply(aLink, std::move(message.value()));
    return;
  }
  const Incarnation receiver = message.value().mReceiverIncarnation;
  if (receiver != 0 && receiver != mSelf.mIncarnation) {
    // Addressed to another incarnation of this instance.
    ++mStatistics.mDroppedReplies;
    return;
  }
  Spawn(mExecutor, Serve(aLink, std::move(message.value())));
}

void PeerTransport::OnReply(const std::shared_ptr<PeerLink>& aLink,
                            PeerMessage aMessage)
{
  if (aMessage.mRequestId < kFirstCallId) {
    Spawn(mExecutor, Serve(aLink, std::move(aMessage)));
    return;
  }
  const auto it = mPending.find(aMessage.mRequestId);
  const bool isForThisIncarnation =
    aMessage.mReceiverIncarnation == mSelf.mIncarnation;
  const bool isPending =
    it != mPending.end() && !it->second->mReply && isForThisIncarnation;
  const bool isFromReceiver =
    isPending && (it->second->mReceiver == 0 ||
                  it->second->mReceiver == aMessage.mIncarnation);
  if (!isFromReceiver) {
    ++mStatistics.mDroppedReplies;
    return;
  }
  mLinks[it->second->mPeer].mUnansweredSince.reset();
  it->second->mReply = std::move(aMessage);
  it->second->mTimer.cancel();
}

Awaitable<void> PeerTransport::Serve(std::shared_ptr<PeerLink> aLink,
                                     PeerMessage aMessage)
{
  const uint64_t id = aMessage.mIsReply ? 0 : aMessage.mRequestId;
  const Incarnation requester = aMessage.mIncarnation;
  auto body = co_await mHandler(std::move(aMessage));
  if (!body || id == 0) {
    co_return;
  }
  PeerMessage reply = MakeMessage(std::move(*body));
  reply.mRequestId = id;
  reply.mIsReply = true;
  reply.mReceiverIncarnation = requester;
  auto frame = EncodePeerFrame(reply);
  if (frame) {
    ++mStatistics.mSent;
    mStatistics.mBytesSent += frame.value().size();
    aLink->Send(std::move(frame.value()));
  }
}

void PeerTransport::CloseLink(const IpEndpoint& aPeer)
{
  auto it = mLinks.find(aPeer);
  if (it == mLinks.end() || !it->second.mLink) {
    return;
  }
  ++mStatistics.mReplacedLinks;
  it->second.mLink->Close();
  it->second.mLink.reset();
  it->second.mUnansweredSince.reset();
}

void PeerTransport::CloseSilentLinks(Duration aSilenceTimeout)
{
  const TimePoint now = SteadyNow();
  // Closes idle links: each link holds a read buffer, and in a large fleet most
  // links are used once.
  std::erase_if(mLinks, [&](const auto& aEntry) {
    const auto& out = aEntry.second;
    const bool idle = out.mLink && !out.mConnecting && !out.mUnansweredSince &&
                      now - out.mLink->LastReceivedAt() > kMaxIdleTime;
    if (idle) {
      out.mLink->Close();
    }
    return idle;
  });
  for (auto& [peer, out] : mLinks) {
    const bool silent = out.mLink && out.mLink->IsOpen() &&
                        out.mUnansweredSince &&
                        now - *out.mUnansweredSince > aSilenceTimeout &&
                        now - out.mLink->LastReceivedAt() > aSilenceTimeout;
    if (silent) {
      ++mStatistics.mReplacedLinks;
      Log(LogLevel::Warn, "peer_link_silent", { { "peer", peer.mAddress } });
      out.mLink->Close();
      out.mLink.reset();
      out.mUnansweredSince.reset();
    }
  }
}

void PeerTransport::Stop()
{
  mStopping = true;
  ErrorCode ec;
  mAcceptor.close(ec);
  for (auto& [peer, out] : mLinks) {
    if (out.mLink) {
      out.mLink->Close();
    }
  }
  for (const auto& it : mInbound) {
    if (auto link = it.lock()) {
      link->Close();
    }
  }
}

} // namespace pollenway
