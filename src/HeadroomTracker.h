#pragma once

#include "CommitmentLedger.h"
#include "HeadroomOptions.h"
#include "HeadroomShare.h"
#include "LoadEstimate.h"
#include "LoanLevels.h"
#include "SteeringSummary.h"
#include "ZoneNumbering.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenway {

/// Tracks how much of each zone's capacity this instance may still commit.
///
/// A zone's capacity is that of its region divided by the number of zones in
/// the region. The members of the zone's view own it in equal fractions
/// (`HeadroomShare`), so concurrent answers of different instances never commit
/// the same headroom. Measured load that is not accounted for by unexpired
/// answers (the excess) is deducted first.
///
/// Instances borrow additional headroom of their own zone, and all headroom of
/// other zones, from its owners in heartbeats. The lender counts a loan like
/// one of its own answers, so a lost message loses headroom for the loan's
/// lifetime and never creates any. If a zone is lost, the headroom it owns is
/// lost too.
///
/// Invariant for each zone, asserted at each commitment and loan: own answers +
/// loans given <= own fraction of (capacity - excess) + loans taken.
class HeadroomTracker
{
public:
  HeadroomTracker(HeadroomOptions aOptions, const Inventory& aInventory);

  /// Updates capacities and zones. Keeps the state of zones that remain.
  void SetInventory(const Inventory& aInventory, TimePoint aNow);
  void ApplyZoneView(const ShareView& aView, TimePoint aNow);
  /// Sets the end of the member's lease (4 s). Nothing is committed or lent at
  /// or after this time.
  void SetLeaseEnd(TimePoint aEnd) { mLeaseEnd = aEnd; }

  void OnLoadReport(const LoadReport& aReport);
  /// Processes a peer's heartbeat.
  void OnSummary(const SteeringSummary& aSummary, TimePoint aNow);
  /// Returns the loans granted for the peer's requests, to be sent in the
  /// answer to its heartbeat. Each loan replaces this lender's previous one for
  /// the same zone.
  std::vector<HeadroomLoan> Lend(const SteeringSummary& aSummary,
                                 TimePoint aNow);
  /// Processes the loans in the lender's answer to the heartbeat that was sent
  /// to it at `aSentAt`.
  void OnLoans(const InstanceName& aLender,
               const std::vector<HeadroomLoan>& aLoans,
               TimePoint aSentAt,
               TimePoint aNow);
  /// Fills in the sender, the zones and the loans requested from the peer. If
  /// `aForZone` is true, the commitments are summed over the own zone, for a
  /// peer of another zone.
  void FillSummary(SteeringSummary& aSummary,
                   const InstanceName& aPeer,
                   bool aForZone,
                   TimePoint aNow);

  /// Commits a rate (requests/s) in a zone for `aLifetime` if the available
  /// headroom covers it. Returns true if it was committed.
  bool TryCommit(size_t aZone,
                 double aRate,
                 Duration aLifetime,
                 TimePoint aNow);
  /// Adds a rate (requests/s) to the demand that determines how much is
  /// borrowed for a zone. Called only for the preferred zone of a look-up,
  /// whether or not the rate is committed there. Otherwise loans for the same
  /// demand would be requested in every zone tried.
  void CountDemand(size_t aZone,
                   double aRate,
                   Duration aLifetime,
                   TimePoint aNow);

  /// Returns the maximum sum of concurrent commitments in requests/s, for
  /// answers that expire after `aLifetime`. Loans given are already deducted.
  double Budget(size_t aZone, Duration aLifetime, TimePoint aNow);
  /// Returns the own fraction of the headroom before loans, in requests/s.
  double Owned(size_t aZone, TimePoint aNow);
  /// Returns the sum of the own unexpired answers in requests/s.
  double Committed(size_t aZone, TimePoint aNow);
  /// Returns the capacity of the zone in requests/s.
  double Capacity(size_t aZone) const { return mZones[aZone].mCapacity; }
  /// Returns the measured load that is not accounted for by unexpired answers,
  /// in requests/s.
  double Excess(size_t aZone) const { return mZones[aZone].mExcess; }
  /// Returns the free share (0 to 1) of a region's capacity, from measurements
  /// and the answers of all instances; none if one of its zones has no current
  /// measurement.
  std::optional<double> FreeShare(size_t aRegion, TimePoint aNow);

  const ZoneNumbering& Numbering() const { return mNumbering; }
  Duration MaxLifetime() const { return mOptions.mMaxLifetime; }
  bool IsSettled() const { return mShare.IsSettled(); }
  bool HasLease(TimePoint aNow) const { return aNow < mLeaseEnd; }

private:
  struct ZoneState
  {
    double mCapacity = 0;
    bool mIsOwnZone = false;
    double mExcess = 0;
    /// Own fraction of (capacity - excess), in requests/s.
    double mOwned = 0;
    LoadEstimate mMeasured;
    CommitmentLedger mCommitted;
    CommitmentLedger mDemand;
    /// Loans given, by borrower. A restarted borrower has its own entry because
    /// the answers of the old incarnation still count.
    std::map<ShareMember, LoanLevels> mLent;
    double mTotalLent = 0; ///< Sum of `mLent` at the last change or refresh.
    /// Loans taken, by lender.
    std::map<InstanceName, LoanLevels> mBorrowed;
    /// Sum of `mBorrowed` that is valid until `mBorrowedUntil`.
    double mBorrowedUsable = 0;
    TimePoint mBorrowedUntil = TimePoint::min();
    /// Loans requested in heartbeats that may still be answered.
    CommitmentLedger mRequested;
    /// Rate of the last counted demand and the time until which headroom is
    /// reserved for it.
    double mReserveRate = 0;
    TimePoint mReserveUntil = TimePoint::min();
    /// Lifetime of the last answer.
    Duration mLifetime = std::chrono::seconds(5);
  };

  struct Peer
  {
    std::vector<double> mCommitted;
    TimePoint mLastReceivedAt;
  };

  void Refresh(TimePoint aNow);
  double Fraction(const ZoneState& aState) const;
  void RefreshIfDue(TimePoint aNow);
  static double DemandWithMargin(ZoneState& aState, TimePoint aNow);
  static double BorrowedUntil(const ZoneState& aState, TimePoint aEnd);
  static void RefreshLoans(ZoneState& aState, TimePoint aNow);
  double PeersCommitted(size_t aZone, TimePoint aNow) const;
  void AssertWithinCapacity(ZoneState& aState,
                            TimePoint aEnd,
                            TimePoint aNow) const;

  HeadroomOptions mOptions;
  ZoneNumbering mNumbering;
  HeadroomShare mShare;
  std::vector<ZoneState> mZones;
  /// Peers of the own zone by name, other zones by zone name.
  std::map<InstanceName, Peer> mPeers;
  std::map<ZoneName, Peer> mOtherZones;
  TimePoint mLeaseEnd = TimePoint::max();
  TimePoint mRefreshedAt = TimePoint::min();
};

} // namespace pollenway
