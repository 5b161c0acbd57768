#pragma once

#include "Allotment.h"
#include "Ids.h"
#include "Time.h"

#include <map>
#include <optional>

#include <tuple>

namespace pollenway {

/// What is known of a zone's demand for a workspace.
struct ZoneDemand
{
  /// Requests per second.
  double mPerSecond = 0;
  /// Reported recently enough to give the zone a share.
  bool mIsCurrent = false;
};

/// A conditional update of `allotment/<workspace>`. A base version of 0 means
/// create-if-absent.
struct AllotmentWrite
{
  /// Tells the attempt's result from results of others.
  uint64_t mSerial = 0;
  uint64_t mBaseVersion = 0;
  Allotment mValue;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mSerial, aSelf.mBaseVersion, aSelf.mValue);
  }
};

enum class MoveOutcome
{
  Committed,
  Conflict,
  Unknown, ///< The answer was lost: the write may yet take effect.
};

/// A move that was lowered at the giver and is not known to be resolved.
struct PendingMove
{
  AllotmentWrite mWrite;
  /// The giver's fraction while the outcome is open (millionths).
  uint32_t mMaxFraction = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mWrite, aSelf.mMaxFraction);
  }
};

/// Decides, in one zone, how much of a workspace's share to give to which
/// other zone, and keeps the rules for doing so safely: the giver uses the
/// lowered fraction from before the write until it has read a version above
/// the write's base, whatever the outcome; only then can no write of that
/// base take effect any more. A receiver uses what it reads in a committed
/// version.
class ShareBalancer
{
public:
  struct Options
  {
    /// A workspace rests with one zone if its burst is below this number of
    /// tokens for each zone: a depth below 1 never holds a token.
    double mMinBurstPerZone = 2;
    /// It also rests with one zone if its rate is below this (1/s).
    double mMinRate = 0;
    /// Part of the whole that each zone keeps whatever its demand
    /// (millionths): of divided workspaces, and of those that rest with one
    /// zone. A reserve serves a zone that had no demand before it was cut off;
    /// it takes tokens from where the demand is (docs/notes/fleet-limits.md).
    uint32_t mReserve = 0;
    uint32_t mSingleZoneReserve = 0;
    /// The zone gives only what exceeds its target by this part of it, and
    /// by mMinMove.
    double mHysteresis = 0.25;
    uint32_t mMinMove = 20'000;
    /// A resting workspace moves when another zone's demand is this many
    /// times that of the zone it rests with.
    double mSingleZoneHysteresis = 2.5;
    /// Time between two moves, and between a failed write and the next try.
    Duration mMoveInterval = std::chrono::seconds(5);
    Duration mRetryInterval = std::chrono::seconds(1);
  };

  ShareBalancer(ZoneName aZone, Options aOptions);

  /// The zone's account has a new owner without a handover. The predecessor's
  /// last write may still be under way, so nothing is usable until a version
  /// above that of a read made from now on is known.
  void RequireFence();

  /// Starts over with a predecessor's allotment and unresolved move.
  void Restore(const std::optional<Allotment>& aCommitted,
               const std::optional<PendingMove>& aPending);

  /// Serial of the store read that is needed, if any. It changes when only a
  /// read sent from now on will do.
  std::optional<uint64_t> NeededRead() const;

  /// Answer to the read of that serial; others are ignored. Empty if the
  /// object is absent.
  void OnStoreRead(uint64_t aSerial, const std::optional<Allotment>& aRead);

  /// A committed version from a watch or a peer. Lower ones are ignored.
  void OnCommitted(const Allotment& aCommitted);

  /// Lowers this zone's fraction if others' demand calls for it.
  void ConsiderMove(const std::map<ZoneName, ZoneDemand>& aDemand,
                    double aRate,
                    double aBurst,
                    TimePoint aNow);

  /// The write to send now. `aInitial` is the value to create if the object is
  /// absent; `aHoldsFit` says that the bucket's held tokens fit the usable
  /// fraction. Report the outcome with `OnWriteResult`.
  std::optional<AllotmentWrite> NextWrite(const Allotment& aInitial,
                                          bool aHoldsFit,
                                          TimePoint aNow);

  /// A committed write also counts as having read the written version.
  void OnWriteResult(uint64_t aSerial, MoveOutcome aOutcome, TimePoint aNow);

  /// The fraction that the zone's bucket may use (millionths).
  uint32_t UsableFraction() const;

  /// True if the workspace is too small to be divided between `aZones` zones.
  bool UsesSingleZone(double aRate, double aBurst, size_t aZones) const;

  const std::optional<Allotment>& Committed() const { return mCommitted; }
  const std::optional<PendingMove>& Pending() const { return mPending; }
  bool IsFenceRequired() const { return mFenceRequired; }

private:
  struct Move
  {
    ZoneName mTo;
    uint32_t mAmount = 0;
  };

  void RequireRead();
  Move ChooseSingleZoneMove(
    const std::map<ZoneName, ZoneDemand>& aDemand) const;
  Move ChooseDividedMove(const std::map<ZoneName, ZoneDemand>& aDemand) const;

  ZoneName mZone;
  Options mOptions;
  std::optional<Allotment> mCommitted;
  std::optional<PendingMove> mPending;
  bool mNeedsRead = true;
  uint64_t mReadSerial = 1;
  uint64_t mWriteSerial = 0;
  bool mIsAbsent = false;
  bool mFenceRequired = false;
  /// Version read after the fence was required; 0 if not yet read.
  uint64_t mFenceBase = 0;
  std::optional<AllotmentWrite> mInFlight;
  TimePoint mNextMoveAt{};
  TimePoint mNextWriteAt{};
};

} // namespace pollenway
