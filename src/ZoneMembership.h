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

/// How a conditional update ended.
enum class StoreWriteOutcome
{
  Written,
  Conflict, ///< Another version was stored; nothing was written.
  Unknown,  ///< No answer: it may have been written, now or later.
};

/// A process's state as a member of its own zone's view: joins, keeps its
/// lease, grants leases, evicts silent members and leaves. One object is one
/// run (incarnation); it does no I/O and is driven by the methods below, whose
/// actions the caller carries out in order.
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
    /// Unanswered heartbeats for this long make a member suspect. Below the
    /// confirm time, so that the store is already read when it has passed.
    Duration mSuspectTimeout = std::chrono::seconds(5);
    /// Up to this many other members get each heartbeat.
    size_t mMaxFullMesh = 8;
    /// In a larger zone, this many fixed members and one in turn do.
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

  /// Does what is due. To be called about each 100 ms.
  MembershipActions Tick(TimePoint aNow);

  /// The answer to `act::ReadView`: the text of the object and its version,
  /// both empty if it does not exist, or an error. What a watch reports goes to
  /// `OnView`, as this call ends the wait for an answer.
  MembershipActions OnStoreRead(TimePoint aNow,
                                const Result<std::string>& aText,
                                const std::string& aVersion);

  /// The answer to `act::WriteView`; `aVersion` is the new version if written.
  MembershipActions OnStoreWrite(TimePoint aNow,
                                 StoreWriteOutcome aOutcome,
                                 const std::string& aVersion);

  /// A view of the own zone from a peer, which read it from the store.
  MembershipActions OnView(TimePoint aNow, const ZoneView& aView);

  /// A message from that run of a member arrived, which reports the number of
  /// the view that it acts by.
  void OnMessageReceived(TimePoint aNow,
                         const InstanceName& aMember,
                         Incarnation aIncarnation,
                         uint64_t aViewNumber);

  /// A lease request arrived; is it granted?
  bool OnLeaseRequest(TimePoint aNow,
                      const InstanceName& aMember,
                      Incarnation aIncarnation);

  /// A grantor granted the request that was sent at `aSentAt`.
  void OnLeaseGranted(const InstanceName& aGrantor,
                      Incarnation aIncarnation,
                      TimePoint aSentAt);

  /// Has this grantor confirmed the eviction of that run?
  bool HasConfirmedEviction(const InstanceName& aMember,
                            Incarnation aIncarnation) const;

  /// A grantor that has confirmed the eviction of this run refused it a lease.
  /// If no other grants one, the run ends, to join anew: the others hear it
  /// and would keep it in the view without a lease.
  MembershipActions OnLeaseRefused(TimePoint aNow);

  /// Another member asks for a confirmation; true if it is given.
  bool OnEvictConfirmRequest(TimePoint aNow,
                             const peer::EvictConfirm& aRequest);

  /// `aFrom` confirmed in view `aViewNumber`.
  MembershipActions OnEvictionConfirmed(TimePoint aNow,
                                        const InstanceName& aFrom,
                                        uint64_t aViewNumber,
                                        const InstanceName& aMember,
                                        Incarnation aIncarnation);

  /// An instance that is not a member asks to be added.
  MembershipActions OnJoinRequest(TimePoint aNow, const ZoneMember& aMember);

  /// The platform lists the instance as terminated, or an operator has
  /// released it: its process has ended and will not return.
  /// An operator releases one run; the platform's list names an instance that
  /// is never used again (`aIncarnation` 0).
  void OnTerminated(const InstanceName& aInstance,
                    Incarnation aIncarnation = 0);

  /// The member has completed its collection of records for a view. Written to
  /// the view in the store when it is next changed by this member.
  void SetCompletedView(uint64_t aNumber) { mCompletedView = aNumber; }

  /// Starts to leave. From now on `MayActAsOwner` is false.
  MembershipActions BeginLeave(TimePoint aNow);

  /// May this member use what it owns? To be asked right before each use.
  bool MayActAsOwner(TimePoint aNow) const;

  /// Has every other member reported that it acts by exactly this view? A
  /// member that becomes an owner without a handover waits for this, as the
  /// old owner may still act by the old view.
  bool IsSettled() const;

  State GetState() const { return mState; }
  const ZoneView& View() const { return mView; }
  const ZoneMember& Self() const { return mOptions.mSelf; }
  const ZoneName& Zone() const { return mOptions.mZone; }
  /// The other members that get each heartbeat: all in a small zone.
  std::vector<ZoneMember> HeartbeatTargets() const;
  /// Number of the view that this member acts by; 0 if it is no member.
  uint64_t ActingView() const;

private:
  struct Peer
  {
    Incarnation mIncarnation = 0;
    uint64_t mReportedView = 0;
    /// When the first heartbeat since the last message from it was sent.
    std::optional<TimePoint> mUnansweredSince;
  };

  struct Eviction
  {
    std::set<InstanceName> mConfirmedBy;
    TimePoint mNextRequestAt;
  };

  Peer& PeerOf(const ZoneMember& aMember);
  bool IsSelf(const ZoneMember& aMember) const;
  /// Is this the only member of the view that it acts by?
  bool IsOnlyMember() const;
  bool IsSuspect(const ZoneMember& aMember, TimePoint aNow) const;
  bool IsListedAsTerminated(const ZoneMember& aMember) const;
  bool IsTerminatedAndSilent(const ZoneMember& aMember, TimePoint aNow) const;
  /// Age up to which the store's last answer permits to evict the suspect.
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
  /// Run that has ended by instance; 0 for any run.
  std::map<InstanceName, Incarnation> mTerminated;
  std::map<InstanceName, ZoneMember> mJoinRequests;
  /// Runs that this member saw removed: none may return.
  std::set<std::pair<InstanceName, Incarnation>> mRemoved;
  uint64_t mCompletedView = 0;

  TimePoint mLastTick;
  TimePoint mNextHeartbeatAt;

  // One store call at a time.
  bool mIsStoreCallInFlight = false;
  TimePoint mNextStoreReadAt;
  Duration mStoreBackOff{};
  TimePoint mLastStoreAnswerAt;
  bool mHasStoreAnswered = false;
  /// The version of `mStoreVersionView` in the store, if known.
  std::optional<std::string> mStoreVersion;
  uint64_t mStoreVersionView = 0;
  ZoneView mProposed;
  /// If not 0: this run may have been a member, without seeing it, of a view
  /// below or at this number.
  uint64_t mPossibleJoinView = 0;
  bool mIsLeaveRequested = false;
  /// Set while a view with a second member may be in the store that this only
  /// member has not seen yet.
  std::optional<TimePoint> mPossibleSecondMemberAt;
};

} // namespace pollenway
