#pragma once

#include "GrantorLease.h"
#include "MemberLease.h"
#include "MembershipAction.h"
#include "Random.h"
#include "Result.h"
#include "ZoneView.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenway {

/// Result of a conditional update of the store.
enum class StoreWriteOutcome
{
  Written,
  Conflict, ///< Another version was stored; nothing was written.
  Unknown,  ///< No answer: the write may take effect, even later.
};

/// State of a process as a member of its own zone's view: joins, renews its
/// lease, grants leases, evicts silent members and leaves. One object belongs
/// to one incarnation. Does no I/O: the caller carries out the returned actions
/// in order.
class ZoneMembership
{
public:
  struct Options
  {
    ZoneName mZone;
    ZoneMember mSelf;
    Duration mHeartbeatInterval = std::chrono::milliseconds(500);
    Duration mLeaseTime = kLeaseTime;
    Duration mConfirmDelay = kConfirmDelay;
    /// A member whose heartbeats stay unanswered for this long is suspect.
    /// Less than the confirmation delay, so that the store has been read by the
    /// end of that delay.
    Duration mSuspectTimeout = std::chrono::seconds(5);
    /// With up to this many other members, all of them get each heartbeat.
    size_t mMaxFullMesh = 8;
    /// In a larger zone, this many fixed members and one in rotation get it.
    size_t mNeighbours = 5;
    uint64_t mSeed = 1;
  };

  enum class State
  {
    Joining,
    Member,
    Leaving, ///< Uses and grants nothing; the update of the view is pending.
    Ended,
  };

  ZoneMembership(Options aOptions, TimePoint aNow);

  /// Sends what is due and checks timeouts. Called about every 100 ms.
  MembershipActions Tick(TimePoint aNow);

  /// Processes the result of `act::ReadView`: the text of the object and its
  /// version, both empty if it does not exist, or an error. A view reported by
  /// a watch goes to `OnView` instead, as this call ends the wait for an
  /// answer.
  MembershipActions OnStoreRead(TimePoint aNow,
                                const Result<std::string>& aText,
                                const std::string& aVersion);

  /// Processes the result of `act::WriteView`; `aVersion` is the new version if
  /// the view was written.
  MembershipActions OnStoreWrite(TimePoint aNow,
                                 StoreWriteOutcome aOutcome,
                                 const std::string& aVersion);

  /// Processes a view of the own zone from a peer, which read it from the
  /// store.
  MembershipActions OnView(TimePoint aNow, const ZoneView& aView);

  /// Called when a message from this incarnation of a member was received,
  /// which reports the number of the view that the member acts by.
  void OnMessageReceived(TimePoint aNow,
                         const InstanceName& aMember,
                         Incarnation aIncarnation,
                         uint64_t aViewNumber);

  /// Processes a lease request; returns true if the lease is granted.
  bool OnLeaseRequest(TimePoint aNow,
                      const InstanceName& aMember,
                      Incarnation aIncarnation);

  /// Called when a grantor granted the request that was sent at `aSentAt`.
  void OnLeaseGranted(const InstanceName& aGrantor,
                      Incarnation aIncarnation,
                      TimePoint aSentAt);

  /// Returns true if this grantor has confirmed the eviction of that
  /// incarnation.
  bool HasConfirmedEviction(const InstanceName& aMember,
                            Incarnation aIncarnation) const;

  /// Called when a grantor that has confirmed the eviction of this incarnation
  /// refused it a lease. Without a lease from another grantor the incarnation
  /// ends so that the process joins again: the other members still receive its
  /// messages and would keep it in the view without a lease.
  MembershipActions OnLeaseRefused(TimePoint aNow);

  /// Processes another member's request to confirm an eviction; returns true if
  /// it is confirmed.
  bool OnEvictConfirmRequest(TimePoint aNow,
                             const peer::EvictConfirm& aRequest);

  /// Called when `aFrom` confirmed an eviction in view `aViewNumber`.
  MembershipActions OnEvictionConfirmed(TimePoint aNow,
                                        const InstanceName& aFrom,
                                        uint64_t aViewNumber,
                                        const InstanceName& aMember,
                                        Incarnation aIncarnation);

  /// Processes the request of an instance outside the view to be added.
  MembershipActions OnJoinRequest(TimePoint aNow, const ZoneMember& aMember);

  /// Called when the platform lists the instance as terminated, or an operator
  /// has released it: its process has ended and will not return. An operator
  /// releases one incarnation; the platform's list names an instance that is
  /// never used again (`aIncarnation` 0).
  void OnTerminated(const InstanceName& aInstance,
                    Incarnation aIncarnation = 0);

  /// Sets the view for which this member has completed its collection of
  /// records. Written to the store with this member's next change of the view.
  void SetCompletedView(uint64_t aNumber) { mCompletedView = aNumber; }

  /// Starts to leave. `MayActAsOwner` returns false from now on.
  MembershipActions BeginLeave(TimePoint aNow);

  /// Returns true if this member may use what it owns. Must be checked
  /// immediately before each use.
  bool MayActAsOwner(TimePoint aNow) const;

  /// Returns true if every other member has reported that it acts by exactly
  /// this view. A member that becomes an owner without a handover waits for
  /// this, as the previous owner may still act by the previous view.
  bool IsSettled() const;

  State GetState() const { return mState; }
  const ZoneView& View() const { return mView; }
  const ZoneMember& Self() const { return mOptions.mSelf; }
  const ZoneName& Zone() const { return mOptions.mZone; }
  /// Returns the other members that get each heartbeat: all in a small zone.
  std::vector<ZoneMember> HeartbeatTargets() const;
  /// Returns the number of the view that this member acts by; 0 if it is not a
  /// member.
  uint64_t ActingView() const;

private:
  struct Peer
  {
    Incarnation mIncarnation = 0;
    uint64_t mReportedView = 0;
    /// Time of the first heartbeat sent since the peer's last message.
    std::optional<TimePoint> mUnansweredSince;
  };

  struct Eviction
  {
    std::set<InstanceName> mConfirmedBy;
    TimePoint mNextRequestAt;
  };

  Peer& PeerOf(const ZoneMember& aMember);
  bool IsSelf(const ZoneMember& aMember) const;
  /// Returns true if this is the only member of the view that it acts by.
  bool IsOnlyMember() const;
  bool IsSuspect(const ZoneMember& aMember, TimePoint aNow) const;
  bool IsListedAsTerminated(const ZoneMember& aMember) const;
  bool IsTerminatedAndSilent(const ZoneMember& aMember, TimePoint aNow) const;
  /// Returns the maximum age of the store's last answer for an eviction of the
  /// suspect to proceed.
  Duration MaxStoreAnswerAge(const ZoneMember& aMember, TimePoint aNow) const;
  void End(MembershipActions& aOut);
  std::vector<ZoneMember> LeaseRequestTargets(TimePoint aNow);
  std::vector<InstanceName> NeighboursOf(const InstanceName& aName) const;

  void Adopt(const ZoneView& aView, TimePoint aNow, MembershipActions& aOut);
  void CheckEvictions(TimePoint aNow, MembershipActions& aOut);
  bool TryConfirmEviction(const ZoneMember& aMember, TimePoint aNow);
  bool NeedsStoreRead(TimePoint aNow) const;
  void StartStoreRead(TimePoint aNow, MembershipActions& aOut);
  void Propose(TimePoint aNow, MembershipActions& aOut);
  ZoneView NextView(TimePoint aNow, MembershipActions& aOut);
  void BackOff(TimePoint aNow);

  Options mOptions;
  Random mRandom;
  State mState = State::Joining;
  ZoneView mView;
  MemberLease mLease;
  GrantorLease mGrantor;
  std::map<InstanceName, Peer> mPeers;
  std::vector<InstanceName> mOwnNeighbours;
  size_t mRotation = 0;
  std::map<InstanceName, Eviction> mEvictions;
  /// Terminated incarnation of each instance; 0 means every incarnation.
  std::map<InstanceName, Incarnation> mTerminated;
  std::map<InstanceName, ZoneMember> mJoinRequests;
  /// Incarnations that this member saw removed: none may return.
  std::set<std::pair<InstanceName, Incarnation>> mRemoved;
  uint64_t mCompletedView = 0;

  TimePoint mLastTick;
  TimePoint mNextHeartbeatAt;

  // At most one store call is in flight.
  bool mIsStoreCallInFlight = false;
  TimePoint mNextStoreReadAt;
  Duration mStoreBackOff{};
  TimePoint mLastStoreAnswerAt;
  bool mHasStoreAnswered = false;
  /// Version in the store of the view with number `mStoreVersionView`, if
  /// known.
  std::optional<std::string> mStoreVersion;
  uint64_t mStoreVersionView = 0;
  ZoneView mProposed;
  /// If not 0, this incarnation may have joined without having read the view.
  /// If a view with this number or a higher one does not list it, it counts as
  /// removed.
  uint64_t mPossibleJoinView = 0;
  bool mIsLeaveRequested = false;
  /// Set while the store may hold a view with a second member that this only
  /// member has not read yet.
  std::optional<TimePoint> mPossibleSecondMemberAt;
};

} // namespace pollenway
