#pragma once

#include "ContactList.h"
#include "FleetDigest.h"
#include "HttpTypes.h"
#include "InstanceRoster.h"
#include "InstanceSummary.h"
#include "InstanceTable.h"
#include "Result.h"
#include "WorkspaceNumbers.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <set>

namespace pollenway {

/// Exchanges datagrams with other instances: this instance's summary with those
/// of its zone, digests as a delegate or with the delegates of its zone, and
/// rosters, by which new instances find the others. Datagrams need no
/// connections that could go silent, and the next one replaces a lost one.
class SummaryExchange
{
public:
  struct Callbacks
  {
    /// Returns the summary to send, without the fields that this class sets.
    std::function<InstanceSummary()> mMakeSummary;
    /// Called when a later summary of an instance of the zone has arrived.
    std::function<void(const InstanceSummary&)> mOnSummary;
    std::function<void(const FleetDigest&)> mOnDigest;
  };
  struct Options
  {
    IpEndpoint mSelf;
    ZoneName mZone;
    /// Contacted until the instance has found its zone.
    std::vector<IpEndpoint> mSeeds;
  };

  SummaryExchange(asio::any_io_executor aExecutor,
                  InstanceTable& aInstances,
                  Options aOptions,
                  Callbacks aCallbacks);

  Result<void> Listen();
  /// Sends the summary to the instances of the zone, and to contacts when they
  /// are due.
  void Send();
  /// Sends a digest to some instances, spread over a short time: all at once
  /// would overflow the queue of a small machine's link, and always lose the
  /// last ones. Replaces what is still to be sent of an earlier digest with the
  /// same scope.
  void SendDigest(const FleetDigest& aDigest,
                  const std::vector<IpEndpoint>& aReceivers);
  /// Sends a part of a received digest to another instance at once.
  void ForwardDigest(const FleetDigest& aDigest, const IpEndpoint& aReceiver);
  /// Adds an instance that may exist, as reported by a seed, the store or a
  /// peer.
  void AddContact(const IpEndpoint& aContact);
  /// Sets the workspaces of the configuration in force.
  void SetWorkspaces(const std::vector<WorkspaceName>& aWorkspaces)
  {
    mNumbers.Set(aWorkspaces);
  }
  void SetSeeds(std::vector<IpEndpoint> aSeeds);
  /// Adds instances that may exist.
  void AddRoster(const InstanceRoster& aRoster);
  /// Returns true if any instance has answered since the start.
  bool HasHeardAny() const { return mHasHeardAny; }
  /// Returns endpoints in other zones, to send digests to before delegates of
  /// these zones are known.
  std::vector<IpEndpoint> EndpointsOf(
    const std::function<bool(const ZoneName&)>& aIncludesZone) const;

private:
  /// An instance of another zone that has sent its summary to this one.
  struct RemoteInstance
  {
    ZoneName mZone;
    TimePoint mReceivedAt{};
  };

  /// What is still to be sent of a digest.
  struct PendingDigest
  {
    std::vector<std::string> mParts;
    std::vector<IpEndpoint> mReceivers;
  };

  Awaitable<void> Receive();
  Awaitable<void> SendPending();
  void SendTo(const IpEndpoint& aPeer, const std::string& aBytes);
  void HandleDatagram(std::string_view aBytes);
  void HandleSummary(std::string_view aBytes);
  void HandleDigest(std::string_view aBytes);
  void HandleRoster(std::string_view aBytes);
  void OnMalformed(const Error& aError);
  /// Sends the instances of its zone, and some of the others, to a new one.
  void SendRoster(const InstanceSummary& aReceiver);
  void AddRemote(const ZoneName& aZone, const IpEndpoint& aPeer);

  asio::any_io_executor mExecutor;
  InstanceTable& mInstances;
  Options mOptions;
  Callbacks mCallbacks;
  asio::ip::udp::socket mSocket;
  ContactList mContacts;
  std::map<IpEndpoint, RemoteInstance> mRemote;
  TimePoint mStartedAt{};
  WorkspaceNumbers mNumbers;
  std::map<DigestScope, PendingDigest> mPending;
  bool mIsSendingPending = false;
  std::string mLastSummary;
  uint64_t mSequence = 0;
  size_t mNextKnownPeer = 0;
  bool mHasHeardAny = false;
  uint64_t mMalformed = 0;
};

} // namespace pollenway
