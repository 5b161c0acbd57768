#pragma once

#include "ConfigurationTracker.h"
#include "CutOffKeyPolicy.h"
#include "MembershipAction.h"
#include "PendingRequests.h"
#include "WithdrawalSet.h"
#include "ZoneMembership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// State that an instance keeps about the other instances. Sends heartbeats to
/// its own zone and to remote zones, compares digests and fetches what is
/// missing, detects silent links, and drives its `ZoneMembership`. Does no I/O:
/// the caller carries out the returned actions in order.
class MembershipTable
{
public:
  struct Options
  {
    ZoneMembership::Options mZone;
    /// A link whose requests stay unanswered for this long is silent.
    Duration mLinkTimeout = std::chrono::seconds(2);
    /// Number of remote zones that get a heartbeat in one interval. With more
    /// zones they take turns, which bounds the cost of many zones.
    size_t mRemoteZonesPerInterval = 6;
  };

  /// State of the process that outlives an incarnation.
  struct ProcessState
  {
    ConfigurationTracker& mConfiguration;
    WithdrawalSet& mWithdrawals;
    CutOffKeyPolicy& mCutOff;
  };

  /// Number of members of a zone that hold the same withdrawn keys as this
  /// instance.
  struct ZoneWithdrawalStatus
  {
    ZoneName mZone;
    size_t mMembers = 0;
    size_t mConfirmed = 0;
  };

  /// Load of a target as reported by its slot owner.
  struct ReportedLoad
  {
    peer::LoadSummary mSummary;
    InstanceName mFrom;
    TimePoint mObservedAt;
  };

  MembershipTable(Options aOptions, ProcessState aProcessState, TimePoint aNow);

  /// Sends what is due and checks timeouts. Called about every 100 ms.
  MembershipActions Tick(TimePoint aNow);

  /// Handles a message of the kinds Heartbeat(Reply), Join, FetchConfiguration,
  /// Configuration, Withdrawals, EvictConfirm(Reply), Leaving, FetchView and
  /// View. Do not pass other kinds: they belong to other classes, which match
  /// their replies with `PendingRequests` objects of their own. A reply uses
  /// the link of its request if the sender's address is unknown.
  MembershipActions Handle(TimePoint aNow, const PeerMessage& aMessage);

  // See `ZoneMembership`.
  MembershipActions OnStoreRead(TimePoint aNow,
                                const Result<std::string>& aText,
                                const std::string& aVersion);
  MembershipActions OnStoreWrite(TimePoint aNow,
                                 StoreWriteOutcome aOutcome,
                                 const std::string& aVersion);
  MembershipActions BeginLeave(TimePoint aNow);
  void OnTerminated(const InstanceName& aInstance,
                    Incarnation aIncarnation = 0);

  /// Joins again as a new incarnation. Called after `act::Ended`.
  void Rejoin(TimePoint aNow, Incarnation aIncarnation);

  /// Takes over a newer view of any zone that the caller read from the store.
  MembershipActions OfferView(TimePoint aNow, const ZoneView& aView);

  /// Adds an instance to contact while no view is known, for instance because
  /// the store is down. Its name is `aMember.mName`; the incarnation may be 0.
  void AddSeed(const ZoneMember& aMember);

  /// Withdraws a key and sends the withdrawal to peers at once.
  MembershipActions Withdraw(TimePoint aNow, const KeyId& aKey);

  /// Sets the load summaries of the targets whose slots this instance owns. The
  /// next heartbeats carry them.
  void SetLoads(std::vector<peer::LoadSummary> aLoads);

  ZoneMembership& Zone() { return *mZone; }
  const ZoneMembership& Zone() const { return *mZone; }

  /// Returns the newest known view of a zone, or null.
  const ZoneView* ViewOf(const ZoneName& aZone) const;
  const std::map<ZoneName, ZoneView>& RemoteViews() const
  {
    return mRemoteViews;
  }
  const std::map<TargetName, ReportedLoad>& Loads() const { return mLoads; }
  bool IsLeaving(const InstanceName& aInstance) const;
  std::vector<ZoneWithdrawalStatus> WithdrawalReport() const;
  const PendingRequests& Pending() const { return *mPending; }

private:
  struct Peer
  {
    Incarnation mIncarnation = 0;
    std::optional<TimePoint> mUnansweredSince;
    uint64_t mViewsHash = 0;
    uint32_t mWithdrawnCount = 0;
    uint64_t mWithdrawnHash = 0;
    bool mWithdrawnSynchronised = false;
    bool mHasDigest = false;
    bool mIsLeaving = false;
    TimePoint mNextWithdrawalExchangeAt;
  };

  void ConvertActions(TimePoint aNow,
                      MembershipActions aIn,
                      MembershipActions& aOut);
  PeerMessage MakeRequest(TimePoint aNow,
                          const ZoneMember& aTo,
                          PeerBody aBody,
                          PeerKind aReplyKind);
  void Send(TimePoint aNow,
            const ZoneMember& aTo,
            PeerBody aBody,
            PeerKind aReplyKind,
            MembershipActions& aOut);
  /// Sends a message that has no reply.
  void SendOneWay(const ZoneMember& aTo,
                  PeerBody aBody,
                  MembershipActions& aOut) const;
  void Reply(const PeerMessage& aRequest,
             PeerBody aBody,
             MembershipActions& aOut) const;
  void SendHeartbeat(TimePoint aNow,
                     const ZoneMember& aTo,
                     bool aLeaseWanted,
                     MembershipActions& aOut);
  void SendRemoteHeartbeats(TimePoint aNow, MembershipActions& aOut);
  peer::Digest MakeDigest(const Peer& aFor, bool aWithLoads);
  uint64_t ViewsHash();
  void OnDigest(TimePoint aNow,
                const PeerMessage& aMessage,
                const peer::Digest& aDigest,
                MembershipActions& aOut);
  void OnReply(TimePoint aNow,
               const PeerMessage& aMessage,
               MembershipActions& aOut);
  void OnRequest(TimePoint aNow,
                 const PeerMessage& aMessage,
                 MembershipActions& aOut);
  void OnConfiguration(const InstanceName& aFrom,
                       const peer::Configuration& aBody,
                       MembershipActions& aOut) const;
  void OnWithdrawals(TimePoint aNow,
                     const InstanceName& aFrom,
                     const peer::Withdrawals& aBody,
                     MembershipActions& aOut);
  void PropagateWithdrawals(TimePoint aNow,
                            const std::vector<KeyId>& aKeys,
                            const InstanceName& aExcept,
                            bool aToRemoteZones,
                            MembershipActions& aOut);
  Peer& PeerOf(const InstanceName& aName, Incarnation aIncarnation);
  ZoneMember AddressOf(const InstanceName& aName) const;

  Options mOptions;
  ProcessState mProcessState;
  std::unique_ptr<ZoneMembership> mZone;
  std::unique_ptr<PendingRequests> mPending;
  std::map<ZoneName, ZoneView> mRemoteViews;
  std::map<InstanceName, Peer> mPeers;
  std::vector<ZoneMember> mSeeds;
  std::vector<peer::LoadSummary> mOwnLoads;
  std::map<TargetName, ReportedLoad> mLoads;
  std::map<ZoneName, TimePoint> mNextViewFetchAt;
  TimePoint mNextHeartbeatAt;
  size_t mZoneRotation = 0;
  size_t mMemberRotation = 0;
  uint64_t mViewsHash = 0;
  uint64_t mHashedOwnViewNumber = 0;
  bool mIsViewsHashValid = false;
};

} // namespace pollenway
