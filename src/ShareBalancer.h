#pragma once

#include "Allotment.h"
#include "Ids.h"
#include "Time.h"

#include <map>
#include <optional>

#include <tuple>

namespace pollenway {

/// A zone's reported demand for a workspace.
struct ZoneDemand
{
  /// Demand in requests/s.
  double mPerSecond = 0;
  /// True if the report is recent enough to move a share to the zone.
  bool mIsCurrent = false;
};

/// A conditional update of `allotment/<workspace>`. A base version of 0 means
/// that the object is created if it is absent.
struct AllotmentWrite
{
  /// Identifies the write attempt that a result belongs to.
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
  Unknown, ///< The answer was lost; the write may still take effect.
};

/// A move for which the giving zone already uses the lowered fraction, but
/// whose outcome is not yet known.
struct PendingMove
{
  AllotmentWrite mWrite;
  /// Upper limit of the giving zone's fraction while the outcome is unknown
  /// (millionths).
  uint32_t mMaxFraction = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mWrite, aSelf.mMaxFraction);
  }
};

/// Decides, in one zone, how much of a workspace's share to move to which other
/// zone, and ensures that no part is used by two zones at once. The giving zone
/// lowers its fraction before the write and, whatever the outcome, keeps it
/// lowered until it has read a version above the write's base. From then on, no
/// write with that base can take effect. The receiving zone uses only the
/// fraction in a committed version.
class ShareBalancer
{
public:
  struct Options
  {
    /// A workspace's whole share is assigned to a single zone if its burst is
    /// below this number of tokens per zone, because a bucket with a depth
    /// below 1 never holds a token.
    double mMinBurstPerZone = 2;
    /// A single zone is also used if the rate is below this (requests/s).
    double mMinRate = 0;
    /// Fraction of the whole (millionths) that each zone keeps independent of
    /// its demand, for divided and for single-zone workspaces. A reserve allows
    /// a zone that had no demand before it was cut off to admit requests, but
    /// takes tokens from the zones with demand (docs/notes/fleet-limits.md).
    uint32_t mReserve = 0;
    uint32_t mSingleZoneReserve = 0;
    /// The zone moves its surplus only if it exceeds this fraction of its
    /// target and mMinMove (millionths).
    double mHysteresis = 0.25;
    uint32_t mMinMove = 20'000;
    /// A single-zone workspace moves when another zone's demand exceeds that of
    /// its current zone by this factor.
    double mSingleZoneHysteresis = 2.5;
    /// Time between two moves, and between a failed write and the next attempt.
    Duration mMoveInterval = std::chrono::seconds(5);
    Duration mRetryInterval = std::chrono::seconds(1);
  };

  ShareBalancer(ZoneName aZone, Options aOptions);

  /// Called when the zone's account has a new owner without a handover. The
  /// predecessor's last write may still be in flight, so the usable fraction is
  /// 0 until a version above that of a read made after this call is known.
  void RequireFence();

  /// Resets the state to a predecessor's allotment and unresolved move.
  void Restore(const std::optional<Allotment>& aCommitted,
               const std::optional<PendingMove>& aPending);

  /// Returns the serial of the required store read, if any. The serial changes
  /// when a read that was already sent no longer suffices.
  std::optional<uint64_t> NeededRead() const;

  /// Processes the answer to the read with this serial; answers with other
  /// serials are ignored. `aRead` is empty if the object is absent.
  void OnStoreRead(uint64_t aSerial, const std::optional<Allotment>& aRead);

  /// Processes a committed version from a watch or a peer. Versions that are
  /// not newer are ignored.
  void OnCommitted(const Allotment& aCommitted);

  /// Lowers this zone's fraction and starts a move if other zones' demand
  /// requires it.
  void ConsiderMove(const std::map<ZoneName, ZoneDemand>& aDemand,
                    double aRate,
                    double aBurst,
                    TimePoint aNow);

  /// Returns the write to send now, if any. `aInitial` is the value to create
  /// if the object is absent. `aHoldsFit` is true if the bucket's held tokens
  /// fit the usable fraction. The outcome must be reported with
  /// `OnWriteResult`.
  std::optional<AllotmentWrite> NextWrite(const Allotment& aInitial,
                                          bool aHoldsFit,
                                          TimePoint aNow);

  /// Processes the outcome of a write. A committed write also counts as a read
  /// of the written version.
  void OnWriteResult(uint64_t aSerial, MoveOutcome aOutcome, TimePoint aNow);

  /// Returns the fraction that the zone's bucket may use (millionths).
  uint32_t UsableFraction() const;

  /// Returns true if the workspace is too small to be divided between `aZones`
  /// zones.
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
  /// Version that was read after the fence was required; 0 if not yet read.
  uint64_t mFenceBase = 0;
  std::optional<AllotmentWrite> mInFlight;
  TimePoint mNextMoveAt{};
  TimePoint mNextWriteAt{};
};

} // namespace pollenway
