#pragma once

#include "HttpTypes.h"
#include "InstanceSummary.h"
#include "InstanceTable.h"
#include "Result.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <set>

namespace pollenway {

/// Sends this instance's summary to all others in datagrams and receives
/// theirs. Datagrams need no connections that could go silent, and a lost one
/// is made up for by the next.
class SummaryExchange
{
public:
  struct Callbacks
  {
    /// The summary to send now, without the parts that this class fills in.
    std::function<InstanceSummary()> mMakeSummary;
    /// A later summary of an instance arrived.
    std::function<void(const InstanceSummary&)> mOnSummary;
  };

  SummaryExchange(asio::any_io_executor aExecutor,
                  InstanceTable& aInstances,
                  IpEndpoint aSelf,
                  Callbacks aCallbacks);

  Result<void> Listen();
  /// Sends to all instances that are known or were named; to far ones in a
  /// large deployment every second time only.
  void Send();
  /// Sends to all, as news that can't wait.
  void SendToAll();
  /// An instance that may exist, as a seed, the store or a peer says.
  void AddContact(const IpEndpoint& aContact);
  /// True if a summary has come from an instance with this address.
  bool HasReceivedFrom(const IpEndpoint& aContact) const;

private:
  void Send(bool aSkipReducedRate);
  Awaitable<void> Receive();
  void SendTo(const IpEndpoint& aPeer, const std::string& aBytes);
  void HandleDatagram(std::string_view aBytes);

  asio::any_io_executor mExecutor;
  InstanceTable& mInstances;
  IpEndpoint mSelf;
  Callbacks mCallbacks;
  asio::ip::udp::socket mSocket;
  /// Contacts that have not answered yet.
  std::set<IpEndpoint> mContacts;
  uint64_t mSequence = 0;
  bool mNextIncludesRemote = true;
  size_t mNextKnownPeer = 0;
  uint64_t mMalformed = 0;
};

} // namespace pollenway
