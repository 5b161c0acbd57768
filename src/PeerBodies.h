#pragma once

#include "AdmitMessage.h"
#include "CrashReport.h"
#include "FeedAnswer.h"
#include "HandoverAnswer.h"
#include "HomeMessage.h"
#include "Ids.h"
#include "ResultCode.h"
#include "SteeringSummary.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Bodies of the messages between instances (docs/design.md, section 7). Each
/// is encoded as a msgpack array of the members in the order of `Fields`. New
/// members may only be added at the end: decoders ignore members they do not
/// know. Durations are in milliseconds and always relative, because clocks of
/// instances are not comparable.
namespace pollenway::peer {

/// Number of a zone's view as the sender knows it.
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
  /// Slots that the slot owner currently uses; 0 while ejected.
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

/// What the sender knows, in short form, so that peers see what they lack.
struct Digest
{
  ZoneName mZone;
  /// Number of the view of its own zone that the sender acts by; 0 if it is
  /// not a member.
  uint64_t mOwnView = 0;
  uint64_t mGeneration = 0;
  uint64_t mConfigurationHash = 0;
  /// Hash over all zone view numbers that the sender knows.
  uint64_t mViewsHash = 0;
  /// The numbers themselves; sent only if the receiver's last known hash
  /// differs, because 47 zones' numbers would dominate the message's size.
  std::vector<ZoneViewNumber> mViews;
  uint32_t mWithdrawnCount = 0;
  uint64_t mWithdrawnHash = 0;
  /// The sender has learnt the withdrawn keys of the others since its start.
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
  /// The sender asks the receiver, a member of its zone, for a lease.
  bool mLeaseRequested = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mDigest, aSelf.mLeaseRequested);
  }
};

struct HeartbeatReply
{
  Digest mDigest;
  /// The replier is a grantor and grants the lease asked for.
  bool mLeaseGranted = false;
  /// The replier has confirmed the eviction of the requester's run and will
  /// never grant it a lease again.
  bool mLeaseRefused = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mDigest, aSelf.mLeaseGranted, aSelf.mLeaseRefused);
  }
};

/// A new process tells the members of its zone its address, before it is in
/// the view. The envelope has its name and incarnation.
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

/// Asks for the configuration if the receiver has a higher generation.
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

/// Asks for a zone's view if the receiver has a higher number.
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

/// Asks an instance that reads the store for objects of one kind.
struct ReadObjects
{
  std::string mKind;
  /// All objects; otherwise the changes after `mAfter`.
  bool mIsListing = false;
  uint64_t mAfter = 0;
  /// How long to wait for a change if there is none.
  Duration mWait{};
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKind, aSelf.mIsListing, aSelf.mAfter, aSelf.mWait);
  }
};

/// An object of the store, or its deletion.
struct ObjectRecord
{
  std::string mName;
  uint64_t mVersion = 0;
  /// Empty if it was deleted.
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
  uint64_t mRevision = 0;
  std::vector<ObjectRecord> mRecords;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mAnswer, aSelf.mRevision, aSelf.mRecords);
  }
};

struct Withdrawal
{
  KeyId mKey;
  /// Highest accepted configuration known to contain the key's record; 0 if
  /// none is known.
  uint64_t mSeenInGeneration = 0;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKey, aSelf.mSeenInGeneration);
  }
};

/// Withdrawn keys that the receiver may lack. Also the reply: what the replier
/// holds after merging.
struct Withdrawals
{
  std::vector<Withdrawal> mWithdrawals;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mWithdrawals); }
};

/// Asks the owner of a workspace's account in the receiver's zone for tokens.
struct Admit
{
  WorkspaceName mWorkspace;
  /// View of the receiver's zone by which the sender chose it.
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

/// The owner of a workspace's account in the view asks the other members of
/// its zone to stop and to hand over what they hold.
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
  /// Nothing if the receiver has seen a later view.
  std::optional<HandoverAnswer> mAnswer;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mAnswer); }
};

/// A write that the sender's watch of the store reported; for the members of
/// its own zone, so that one watch serves them all.
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

/// The new slot owner of a target asks what the receiver still holds of it.
/// The receiver has stopped dispatching to it if its view is that of the
/// sender.
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
  /// Ok, or StaleView if the receiver acts by another view.
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

/// What steering has to tell a peer, sent about twice a second. The reply
/// carries the headroom that the receiver lends to the sender.
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

/// Asks a grantor to refuse a member from now on.
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
  /// The view for which this counts, as in the request.
  uint64_t mViewNumber = 0;
  /// The replier has not answered the member for 6 s and will not again.
  bool mConfirmed = false;
  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mMember,
                    aSelf.mMemberIncarnation,
                    aSelf.mViewNumber,
                    aSelf.mConfirmed);
  }
};

/// The sender stops; it takes no new work and must not be chosen.
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

/// A backend server crashed: the requests in flight are suspects.
struct CrashSuspect
{
  CrashReport mReport;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mReport); }
};

/// A suspect ran without a crash and is none any more.
struct CrashCleared
{
  RequestFingerprint mRequest;
  static auto Fields(auto& aSelf) { return std::tie(aSelf.mRequest); }
};

} // namespace pollenway::peer
