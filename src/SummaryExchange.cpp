#include "SummaryExchange.h"

#include "FleetDigestCodec.h"
#include "InstanceSummaryCodec.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace pollenway {

namespace {

using asio::ip::udp;

/// Maximum number of other instances listed in one summary: enough for the
/// instances of a zone to learn of each other within seconds, few enough to
/// keep datagrams small.
constexpr size_t kKnownPeersPerSummary = 4;
/// In a large zone only one of this many summaries lists other instances: a new
/// instance then receives summaries from many instances.
constexpr uint64_t kPeerListInterval = 4;
constexpr size_t kLargeZone = 24;
/// Time after the start in which the seeds are contacted at each interval. An
/// instance that starts with all others learns of those that started later.
constexpr Duration kJoinTime = std::chrono::seconds(4);
/// Time for which an instance of another zone is kept for rosters.
constexpr Duration kRemoteRetention = std::chrono::seconds(60);
constexpr size_t kMaxRemote = 1024;
/// Digests are sent in bursts of this size at this interval, 800 KB/s: below
/// the smallest links of the deployments, 1.5 MB/s.
constexpr size_t kMaxBurstBytes = 16 * 1024;
constexpr Duration kBurstInterval = std::chrono::milliseconds(20);
/// Maximum number of entries of a roster for the receiver's zone and for each
/// other zone.
constexpr size_t kRosterOwnZone = 64;
constexpr size_t kRosterOtherZone = 2;

} // namespace

SummaryExchange::SummaryExchange(asio::any_io_executor aExecutor,
                                 InstanceTable& aInstances,
                                 Options aOptions,
                                 Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mInstances(aInstances)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mSocket(aExecutor)
{
}

Result<void> SummaryExchange::Listen()
{
  const auto& self = mOptions.mSelf;
  ErrorCode ec;
  const udp::endpoint endpoint(asio::ip::make_address(self.mAddress, ec),
                               self.mPort);
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
                  "can't receive datagrams on " + self.mAddress + ":" +
                    std::to_string(self.mPort) + ": " + ec.message(),
                  {} };
  }
  mStartedAt = SteadyNow();
  SetSeeds(mOptions.mSeeds);
  Spawn(mExecutor, Receive());
  return outcome::success();
}

void SummaryExchange::Send()
{
  const TimePoint now = SteadyNow();
  std::erase_if(mRemote, [&](const auto& aEntry) {
    return now - aEntry.second.mReceivedAt > kRemoteRetention;
  });
  InstanceSummary summary = mCallbacks.mMakeSummary();
  summary.mPeer = mOptions.mSelf;
  summary.mSequence = ++mSequence;
  std::set<IpEndpoint> receivers;
  std::vector<IpEndpoint> known;
  for (const auto& [name, peer] : mInstances.All()) {
    receivers.insert(peer.mSummary.mPeer);
    known.push_back(peer.mSummary.mPeer);
  }
  for (auto& it : mContacts.TakeDue(now)) {
    receivers.insert(std::move(it));
  }
  if (now - mStartedAt < kJoinTime) {
    receivers.insert(mOptions.mSeeds.begin(), mOptions.mSeeds.end());
    receivers.erase(mOptions.mSelf);
  }
  const bool isLarge = known.size() >= kLargeZone;
  const bool includesPeers = !isLarge || mSequence % kPeerListInterval == 0;
  const size_t listedCount =
    includesPeers ? std::min(kKnownPeersPerSummary, known.size()) : 0;
  for (size_t n = 0; n < listedCount; ++n) {
    summary.mKnownPeers.push_back(known[mNextKnownPeer++ % known.size()]);
  }
  mLastSummary = EncodeSummary(summary);
  for (const auto& it : receivers) {
    SendTo(it, mLastSummary);
  }
}

void SummaryExchange::SendDigest(const FleetDigest& aDigest,
                                 const std::vector<IpEndpoint>& aReceivers)
{
  auto& pending = mPending[aDigest.mScope];
  pending.mParts = EncodeDigest(aDigest);
  pending.mReceivers = aReceivers;
  if (!mIsSendingPending) {
    mIsSendingPending = true;
    Spawn(mExecutor, SendPending());
  }
}

Awaitable<void> SummaryExchange::SendPending()
{
  while (!mPending.empty()) {
    size_t sent = 0;
    while (!mPending.empty() && sent < kMaxBurstBytes) {
      const auto entry = mPending.begin();
      auto& [scope, pending] = *entry;
      if (pending.mReceivers.empty()) {
        mPending.erase(entry);
        continue;
      }
      for (const auto& it : pending.mParts) {
        SendTo(pending.mReceivers.back(), it);
        sent += it.size();
      }
      pending.mReceivers.pop_back();
    }
    asio::steady_timer timer(mExecutor, kBurstInterval);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }
  mIsSendingPending = false;
}

void SummaryExchange::ForwardDigest(const FleetDigest& aDigest,
                                    const IpEndpoint& aReceiver)
{
  for (const auto& it : EncodeDigest(aDigest)) {
    SendTo(aReceiver, it);
  }
}

void SummaryExchange::AddContact(const IpEndpoint& aContact)
{
  if (aContact == mOptions.mSelf || mRemote.contains(aContact)) {
    return;
  }
  for (const auto& [name, peer] : mInstances.All()) {
    if (peer.mSummary.mPeer == aContact) {
      return;
    }
  }
  mContacts.Add(aContact, SteadyNow());
}

void SummaryExchange::SetSeeds(std::vector<IpEndpoint> aSeeds)
{
  mOptions.mSeeds = std::move(aSeeds);
  for (const auto& it : mOptions.mSeeds) {
    AddContact(it);
  }
}

void SummaryExchange::AddRoster(const InstanceRoster& aRoster)
{
  for (const auto& it : aRoster.mEntries) {
    if (it.mZone == mOptions.mZone) {
      AddContact(it.mPeer);
    } else {
      AddRemote(it.mZone, it.mPeer);
    }
  }
}

void SummaryExchange::AddRemote(const ZoneName& aZone, const IpEndpoint& aPeer)
{
  if (mRemote.size() < kMaxRemote || mRemote.contains(aPeer)) {
    mRemote[aPeer] = { aZone, SteadyNow() };
  }
}

std::vector<IpEndpoint> SummaryExchange::EndpointsOf(
  const std::function<bool(const ZoneName&)>& aIncludesZone) const
{
  std::vector<IpEndpoint> out;
  std::map<ZoneName, size_t> counts;
  for (const auto& [endpoint, instance] : mRemote) {
    if (aIncludesZone(instance.mZone) &&
        counts[instance.mZone]++ < kRosterOtherZone) {
      out.push_back(endpoint);
    }
  }
  return out;
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
  std::array<char, datagram::kMaxBytes + 1> buf;
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
  const auto kind = datagram::PeekKind(aBytes);
  if (!kind) {
    OnMalformed(
      { ResultCode::MalformedMessage, "datagram of unknown kind", {} });
    return;
  }
  switch (*kind) {
    case datagram::Kind::Summary:
      HandleSummary(aBytes);
      break;
    case datagram::Kind::Digest:
      HandleDigest(aBytes);
      break;
    case datagram::Kind::Roster:
      HandleRoster(aBytes);
      break;
  }
}

void SummaryExchange::OnMalformed(const Error& aError)
{
  if (++mMalformed == 1) {
    Log(LogLevel::Warn, "summary_refused", { { "reason", aError.mDetail } });
  }
}

void SummaryExchange::HandleSummary(std::string_view aBytes)
{
  auto summary = DecodeSummary(aBytes);
  if (!summary) {
    OnMalformed(summary.error());
    return;
  }
  const auto& value = summary.value();
  mHasHeardAny = true;
  mContacts.Remove(value.mPeer);
  if (value.mZone != mOptions.mZone) {
    AddRemote(value.mZone, value.mPeer);
    SendRoster(value);
    return;
  }
  const bool isNew = !mInstances.All().contains(value.mName);
  if (!mInstances.OnSummary(value, SteadyNow())) {
    return;
  }
  if (isNew) {
    // The new instance doesn't have to wait for the next interval.
    SendRoster(value);
    if (!mLastSummary.empty()) {
      SendTo(value.mPeer, mLastSummary);
    }
  }
  for (const auto& it : value.mKnownPeers) {
    AddContact(it);
  }
  mCallbacks.mOnSummary(value);
}

void SummaryExchange::HandleDigest(std::string_view aBytes)
{
  auto digest = DecodeDigest(aBytes, mNumbers);
  if (!digest) {
    OnMalformed(digest.error());
    return;
  }
  mHasHeardAny = true;
  mCallbacks.mOnDigest(digest.value());
}

void SummaryExchange::HandleRoster(std::string_view aBytes)
{
  auto roster = DecodeRoster(aBytes);
  if (!roster) {
    OnMalformed(roster.error());
    return;
  }
  mHasHeardAny = true;
  AddRoster(roster.value());
  if (!mLastSummary.empty()) {
    for (const auto& it : mContacts.TakeDue(SteadyNow())) {
      SendTo(it, mLastSummary);
    }
  }
}

void SummaryExchange::SendRoster(const InstanceSummary& aReceiver)
{
  InstanceRoster roster;
  const bool isOwnZone = aReceiver.mZone == mOptions.mZone;
  std::map<ZoneName, size_t> counts;
  const auto add = [&](const ZoneName& aZone, const IpEndpoint& aPeer) {
    const size_t limit =
      aZone == aReceiver.mZone ? kRosterOwnZone : kRosterOtherZone;
    if (aPeer != aReceiver.mPeer && counts[aZone]++ < limit) {
      roster.mEntries.push_back({ aZone, aPeer });
    }
  };
  add(mOptions.mZone, mOptions.mSelf);
  // The instances of the own zone send each other their summaries.
  if (isOwnZone) {
    for (const auto& [name, peer] : mInstances.All()) {
      add(mOptions.mZone, peer.mSummary.mPeer);
    }
  }
  for (const auto& [endpoint, instance] : mRemote) {
    add(instance.mZone, endpoint);
  }
  SendTo(aReceiver.mPeer, EncodeRoster(roster));
}

} // namespace pollenway
