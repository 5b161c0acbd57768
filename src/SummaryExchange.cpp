#include "SummaryExchange.h"

#include "InstanceSummaryCodec.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace pollenway {

namespace {

using asio::ip::udp;

/// Maximum number of other instances listed in one summary: enough for a new
/// instance to learn of a hundred instances within seconds, few enough to keep
/// datagrams small.
constexpr size_t kKnownPeersPerSummary = 4;
/// In a large deployment only one of this many summaries lists other instances:
/// a new instance then receives summaries from many instances.
constexpr uint64_t kPeerListInterval = 4;
/// Maximum number of contacts that have not answered; further ones are stale
/// entries of the store.
constexpr size_t kMaxContacts = 512;

} // namespace

SummaryExchange::SummaryExchange(asio::any_io_executor aExecutor,
                                 InstanceTable& aInstances,
                                 IpEndpoint aSelf,
                                 Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mInstances(aInstances)
  , mSelf(std::move(aSelf))
  , mCallbacks(std::move(aCallbacks))
  , mSocket(aExecutor)
{
}

Result<void> SummaryExchange::Listen()
{
  ErrorCode ec;
  const udp::endpoint endpoint(asio::ip::make_address(mSelf.mAddress, ec),
                               mSelf.mPort);
  if (!ec) {
    mSocket.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    mSocket.bind(endpoint, ec);
  }
  if (!ec) {
    mSocket.non_blocking(true, ec);
  }
  if (ec) {
    return Error{ ResultCode::InvalidState,
                  "can't receive datagrams on " + mSelf.mAddress + ":" +
                    std::to_string(mSelf.mPort) + ": " + ec.message(),
                  {} };
  }
  Spawn(mExecutor, Receive());
  return outcome::success();
}

void SummaryExchange::Send()
{
  Send(!mNextIncludesRemote);
  mNextIncludesRemote = !mNextIncludesRemote;
}

void SummaryExchange::SendToAll()
{
  Send(false);
  mNextIncludesRemote = false;
}

void SummaryExchange::Send(bool aSkipReducedRate)
{
  InstanceSummary summary = mCallbacks.mMakeSummary();
  summary.mPeer = mSelf;
  summary.mSequence = ++mSequence;
  std::set<IpEndpoint> receivers = mContacts;
  std::vector<IpEndpoint> known;
  for (const auto& [name, peer] : mInstances.All()) {
    if (!aSkipReducedRate || !mInstances.HasReducedSummaryRate(peer)) {
      receivers.insert(peer.mSummary.mPeer);
    }
    known.push_back(peer.mSummary.mPeer);
  }
  const bool isLarge = known.size() >= InstanceTable::kReducedRateThreshold;
  const bool includesPeers = !isLarge || mSequence % kPeerListInterval == 0;
  const size_t listedCount =
    includesPeers ? std::min(kKnownPeersPerSummary, known.size()) : 0;
  for (size_t n = 0; n < listedCount; ++n) {
    summary.mKnownPeers.push_back(known[mNextKnownPeer++ % known.size()]);
  }
  const std::string bytes = EncodeSummary(summary);
  for (const auto& it : receivers) {
    SendTo(it, bytes);
  }
}

void SummaryExchange::AddContact(const IpEndpoint& aContact)
{
  if (aContact != mSelf && mContacts.size() < kMaxContacts &&
      !HasReceivedFrom(aContact)) {
    mContacts.insert(aContact);
  }
}

bool SummaryExchange::HasReceivedFrom(const IpEndpoint& aContact) const
{
  for (const auto& [name, peer] : mInstances.All()) {
    if (peer.mSummary.mPeer == aContact) {
      return true;
    }
  }
  return false;
}

void SummaryExchange::SendTo(const IpEndpoint& aPeer, const std::string& aBytes)
{
  ErrorCode ec;
  const auto address = asio::ip::make_address(aPeer.mAddress, ec);
  if (ec) {
    return;
  }
  // A datagram that the kernel does not accept now is equivalent to one lost in
  // transit: the next one carries the same state.
  mSocket.send_to(
    asio::buffer(aBytes), udp::endpoint(address, aPeer.mPort), 0, ec);
}

Awaitable<void> SummaryExchange::Receive()
{
  std::array<char, kMaxSummaryBytes + 1> buf;
  udp::endpoint sender;
  for (;;) {
    ErrorCode ec;
    const size_t n =
      co_await mSocket.async_receive_from(asio::buffer(buf), sender, Into(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    // Ignore errors of earlier sends, such as a refused port, which are
    // reported here.
    if (!ec) {
      HandleDatagram({ buf.data(), n });
    }
  }
}

void SummaryExchange::HandleDatagram(std::string_view aBytes)
{
  auto summary = DecodeSummary(aBytes);
  if (!summary) {
    if (++mMalformed == 1) {
      Log(LogLevel::Warn,
          "summary_refused",
          { { "reason", summary.error().mDetail } });
    }
    return;
  }
  const auto& value = summary.value();
  if (!mInstances.OnSummary(value, SteadyNow())) {
    return;
  }
  mContacts.erase(value.mPeer);
  for (const auto& it : value.mKnownPeers) {
    AddContact(it);
  }
  mCallbacks.mOnSummary(value);
}

} // namespace pollenway
