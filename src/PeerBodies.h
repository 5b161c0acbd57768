#pragma once

#include "AdmitMessage.h"
#include "CrashReport.h"
#include "FeedAnswer.h"
#include "HandoverAnswer.h"
#include "HomeMessage.h"
#include "Ids.h"
#include "ResultCode.h"
#include "SteeringSummary.h"
#include "StorePosition.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Bodies of the messages between instances (docs/design.md, section 7). Each
/// is encoded as a msgpack array of its members in the order of `Fields`. New
/// members may only be added at the end, because decoders ignore unknown
/// trailing members. Durations are in milliseconds and always relative, because
/// the clocks of different instances are not comparable.
namespace pollenway::peer {

/// Number of a zone's view that the sender knows.
struct ZoneViewNumber
{
  ZoneName mZone;
  uint64_t mNumber = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone, aSelf.mNumber);
  }
};

/// Load of a target, sent by its slot owner.
struct LoadSummary
{
  TargetName mTarget;
  uint32_t mInFlight = 0;
  uint32_t mQueued = 0;
  /// Slots that the slot owner currently uses; 0 while the target is ejected.
  uint32_t mUsableSlots = 0;
  /// Age of the observation when the message was sent.
  uint32_t mAgeMs = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mTarget,
                    aSelf.mInFlight,
                    aSelf.mQueued,
                    aSelf.mUsableSlots,
                    aSelf.mAgeMs);
  }
};

/// Summary of the sender's state. Peers compare it with their own state and
/// request what they lack.
struct Digest
{
  ZoneName mZone;
  /// Number of the own zone's view that the sender acts on; 0 if it is not a
  /// member.
  uint64_t mOwnView = 0;
  uint64_t mGeneration = 0;
  uint64_t mConfigurationHash = 0;
  /// Hash over all zone view numbers that the sender knows.
  uint64_t mViewsHash = 0;
  /// The view numbers that `mViewsHash` covers. Sent only if the receiver's
  /// last known hash differs, because the numbers of 47 zones would dominate
  /// the message's size.
  std::vector<ZoneViewNumber> mViews;
  uint32_t mWithdrawnCount = 0;
  uint64_t mWithdrawnHash = 0;
  /// True if the sender has received the other instances' withdrawn keys since
  /// its start.
  bool mWithdrawnSynchronised = false;
  bool mLeaving = false;
  std::vector<LoadSummary> mLoads;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone,
                    aSelf.mOwnView,
                    aSelf.mGeneration,
                    aSelf.mConfigurationHash,
                    aSelf.mViewsHash,
                    aSelf.mViews,
                    aSelf.mWithdrawnCount,
                    aSelf.mWithdrawnHash,
                    aSelf.mWithdrawnSynchronised,
                    aSelf.mLeaving,
                    aSelf.mLoads);
  }
};

struct Heartbeat
{
  Digest mDigest;
  /// True if the sender requests a lease from the receiver, a member of its
  /// zone.
  bool mLeaseRequested = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mDigest, aSelf.mLeaseRequested);
  }
};

struct HeartbeatReply
{
  Digest mDigest;
  /// True if the replier is a grantor and grants the requested lease.
  bool mLeaseGranted = false;
  /// True if the replier has confirmed the eviction of the requester's
  /// incarnation and will never grant it a lease again.
  bool mLeaseRefused = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mDigest, aSelf.mLeaseGranted, aSelf.mLeaseRefused);
  }
};

/// Sends a new process's address to the members of its zone before the view
/// lists it. The envelope contains its name and incarnation.
struct Join
{
  ZoneName mZone;
  /// IP address in text form.
  std::string mAddress;
  uint16_t mEntryPort = 0;
  uint16_t mPeerPort = 0;
  uint16_t mRelayPort = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone,
                    aSelf.mAddress,
                    aSelf.mEntryPort,
                    aSelf.mPeerPort,
                    aSelf.mRelayPort);
  }
};

/// Requests the configuration if the receiver has a higher generation.
struct FetchConfiguration
{
  uint64_t mKnownGeneration = 0;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mKnownGeneration); }
};

struct Configuration
{
  uint64_t mGeneration = 0;
  /// The whole configuration as JSON text.
  std::string mText;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mGeneration, aSelf.mText);
  }
};

/// Requests a zone's view if the receiver has a higher number.
struct FetchView
{
  ZoneName mZone;
  uint64_t mKnownNumber = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone, aSelf.mKnownNumber);
  }
};

/// A zone's view as read from the store, as JSON text.
struct View
{
  ZoneName mZone;
  std::string mText;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mZone, aSelf.mText); }
};

/// Requests objects of one kind from an instance that reads the store.
struct ReadObjects
{
  std::string mKind;
  /// True to request all objects, false to request the changes after `mAfter`.
  bool mIsListing = false;
  StorePosition mAfter;
  /// Time to wait for a change if there is none.
  Duration mWait{};
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKind, aSelf.mIsListing, aSelf.mAfter, aSelf.mWait);
  }
};

/// An object of the store, or the record of its deletion.
struct ObjectRecord
{
  std::string mName;
  uint64_t mVersion = 0;
  /// Empty if the object was deleted.
  std::optional<std::string> mValue;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mName, aSelf.mVersion, aSelf.mValue);
  }
};

/// Answer to `ReadObjects`.
struct ObjectsRead
{
  FeedAnswer mAnswer = FeedAnswer::NotReading;
  StorePosition mPosition;
  std::vector<ObjectRecord> mRecords;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mAnswer, aSelf.mPosition, aSelf.mRecords);
  }
};

struct Withdrawal
{
  KeyId mKey;
  /// Generation of the highest accepted configuration known to contain the
  /// key's record; 0 if none is known.
  uint64_t mSeenInGeneration = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKey, aSelf.mSeenInGeneration);
  }
};

/// Withdrawn keys that the receiver may lack. Also the reply, which contains
/// the replier's keys after merging.
struct Withdrawals
{
  std::vector<Withdrawal> mWithdrawals;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mWithdrawals); }
};

/// Requests tokens from the owner of a workspace's account in the receiver's
/// zone.
struct Admit
{
  WorkspaceName mWorkspace;
  /// View of the receiver's zone from which the sender determined the owner.
  uint64_t mViewNumber = 0;
  AdmitRequest mRequest;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mWorkspace, aSelf.mViewNumber, aSelf.mRequest);
  }
};

struct AdmitReply
{
  /// Ok, or StaleView if the receiver does not own the account.
  ResultCode mCode = ResultCode::Ok;
  uint64_t mViewNumber = 0;
  pollenway::AdmitReply mReply;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mCode, aSelf.mViewNumber, aSelf.mReply);
  }
};

/// Sent by the owner of a workspace's account in the view. Requests that the
/// other members of its zone stop granting from the account and hand over their
/// state of it.
struct AccountHandover
{
  WorkspaceName mWorkspace;
  uint64_t mViewNumber = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mWorkspace, aSelf.mViewNumber);
  }
};

struct AccountHandoverReply
{
  /// Empty if the receiver has seen a later view.
  std::optional<HandoverAnswer> mAnswer;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mAnswer); }
};

/// A write that the sender's watch of the store reported. Sent to the members
/// of its own zone, so that one watch serves them all.
struct ObjectChanged
{
  std::string mKind;
  std::string mName;
  uint64_t mVersion = 0;
  std::string mValue;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKind, aSelf.mName, aSelf.mVersion, aSelf.mValue);
  }
};

/// Sent by the new slot owner of a target to query which of its slots the
/// receiver still occupies. If the receiver's view is the sender's, it has
/// stopped dispatching to the target.
struct SlotHandover
{
  TargetName mTarget;
  uint64_t mViewNumber = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mTarget, aSelf.mViewNumber);
  }
};

struct SlotHandoverReply
{
  /// Ok, or StaleView if the receiver acts on another view.
  ResultCode mCode = ResultCode::Ok;
  /// Requests of the receiver that still occupy slots.
  uint32_t mInFlight = 0;
  uint32_t mConnections = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mCode, aSelf.mInFlight, aSelf.mConnections);
  }
};

/// A message between the homes of idempotency records, or between a home and
/// the instance that received a request.
struct Home
{
  HomeMessage mMessage;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mMessage); }
};

/// Steering data for a peer, sent about twice a second. The reply contains the
/// headroom that the receiver lends to the sender.
struct Steering
{
  SteeringSummary mSummary;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mSummary); }
};

struct SteeringReply
{
  std::vector<HeadroomLoan> mLoans;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mLoans); }
};

/// Requests that a grantor refuse leases to a member from now on.
struct EvictConfirm
{
  ZoneName mZone;
  /// The view that lists both the receiver and the member.
  uint64_t mViewNumber = 0;
  InstanceName mMember;
  uint64_t mMemberIncarnation = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(
      aSelf.mZone, aSelf.mViewNumber, aSelf.mMember, aSelf.mMemberIncarnation);
  }
};

struct EvictConfirmReply
{
  InstanceName mMember;
  uint64_t mMemberIncarnation = 0;
  /// The view to which the confirmation applies, as in the request.
  uint64_t mViewNumber = 0;
  /// True if the replier has not answered the member for 6 s and will not
  /// answer it again.
  bool mConfirmed = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mMember,
                    aSelf.mMemberIncarnation,
                    aSelf.mViewNumber,
                    aSelf.mConfirmed);
  }
};

/// Reports that the sender is stopping: it accepts no new work and must not be
/// chosen.
struct Leaving
{
  ZoneName mZone;
  /// Time until the sender expects to exit.
  uint32_t mDrainMs = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone, aSelf.mDrainMs);
  }
};

/// Reports that a backend server crashed; its requests in flight are suspects.
struct CrashSuspect
{
  CrashReport mReport;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mReport); }
};

/// Reports that a suspect ran without a crash and is no longer one.
struct CrashCleared
{
  RequestFingerprint mRequest;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mRequest); }
};

} // namespace pollenway::peer
