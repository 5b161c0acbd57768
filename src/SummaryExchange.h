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
/// theirs. Datagrams need no connections that could go silent, and the next
/// summary replaces a lost one.
class SummaryExchange
{
public:
  struct Callbacks
  {
    /// Returns the summary to send, without the fields that this class sets.
    std::function<InstanceSummary()> mMakeSummary;
    /// Called when a later summary of an instance has arrived.
    std::function<void(const InstanceSummary&)> mOnSummary;
  };

  SummaryExchange(asio::any_io_executor aExecutor,
                  InstanceTable& aInstances,
                  IpEndpoint aSelf,
                  Callbacks aCallbacks);

  Result<void> Listen();
  /// Sends the summary to all known instances and contacts; remote instances of
  /// a large deployment receive only every second one.
  void Send();
  /// Sends the summary to all of them, also to the remote instances that would
  /// not receive this one; for urgent changes.
  void SendToAll();
  /// Adds an instance that may exist, as reported by a seed, the store or a
  /// peer.
  void AddContact(const IpEndpoint& aContact);
  /// Returns true if a summary was received from an instance with this address.
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
