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

/// What this instance may still promise of each zone's capacity.
///
/// A zone's capacity is its region's divided by the region's zones. The members
/// of the zone's view own it in equal fractions (`HeadroomShare`), so instances
/// that answer at the same time never promise the same headroom. Measured load
/// that no unexpired answer explains (the excess) is deducted first.
///
/// Instances borrow what they need beyond that, and all that they need of other
/// zones, from the owners in heartbeats. The lender counts a loan like an
/// answer of its own, so a lost message loses headroom for the loan's lifetime
/// and never creates any. Owned headroom of a lost zone is lost with it.
///
/// Invariant, asserted at each promise and loan, for each zone: own answers +
/// loans given <= own part of (capacity - excess) + loans taken.
class HeadroomTracker
{
public:
  HeadroomTracker(HeadroomOptions aOptions, const Inventory& aInventory);

  /// Takes capacities and zones; keeps what is known of zones that remain.
  void SetInventory(const Inventory& aInventory, TimePoint aNow);
  void ApplyZoneView(const ShareView& aView, TimePoint aNow);
  /// Nothing is promised at or after this time (the member's lease, 4 s).
  void SetLeaseEnd(TimePoint aEnd) { mLeaseEnd = aEnd; }

  void OnLoadReport(const LoadReport& aReport);
  /// A heartbeat of a peer.
  void OnSummary(const SteeringSummary& aSummary, TimePoint aNow);
  /// Loans for the peer's wishes; to be sent in the answer to its heartbeat.
  /// Each replaces the loan of the same zone from this lender.
  std::vector<HeadroomLoan> Lend(const SteeringSummary& aSummary,
                                 TimePoint aNow);
  /// Loans in the lender's answer to the own heartbeat sent at `aSentAt`.
  void OnLoans(const InstanceName& aLender,
               const std::vector<HeadroomLoan>& aLoans,
               TimePoint aSentAt,
               TimePoint aNow);
  /// Fills the sender, the zones and what the sender wants to borrow from the
  /// peer. `aForZone`: the sums over the own zone, for a peer of another zone.
  void Describe(SteeringSummary& aSummary,
                const InstanceName& aPeer,
                bool aForZone,
                TimePoint aNow);

  /// Commits a rate (requests/s) towards a zone for `aLifetime`, if the own
  /// headroom covers it. Returns whether it did.
  bool TryPromise(size_t aZone,
                  double aRate,
                  Duration aLifetime,
                  TimePoint aNow);
  /// Counts a rate towards what is borrowed for a zone. To be called for the
  /// zone that a look-up prefers, whether or not it gets a promise: zones tried
  /// after it would otherwise all be asked for the same demand.
  void CountDemand(size_t aZone,
                   double aRate,
                   Duration aLifetime,
                   TimePoint aNow);

  /// What this instance may have promised at once, in requests/s, for answers
  /// that expire after `aLifetime`; less the loans that it has given.
  double Budget(size_t aZone, Duration aLifetime, TimePoint aNow);
  /// Own part of the headroom before loans, in requests/s.
  double Owned(size_t aZone, TimePoint aNow);
  /// Own unexpired answers, in requests/s.
  double Committed(size_t aZone, TimePoint aNow);
  /// Capacity of the zone in requests/s.
  double Capacity(size_t aZone) const { return mZones[aZone].mCapacity; }
  /// Measured load that no unexpired answer explains, in requests/s.
  double Excess(size_t aZone) const { return mZones[aZone].mExcess; }
  /// Free share of a region's capacity by measurement and answers of all
  /// instances; none without a current measurement of each of its zones.
  std::optional<double> FreeShare(size_t aRegion, TimePoint aNow);

  const ZoneNumbering& Numbering() const { return mNumbering; }
  Duration MaxLifetime() const { return mOptions.mMaxLifetime; }
  bool IsSettled() const { return mShare.IsSettled(); }
  bool HasLease(TimePoint aNow) const { return aNow < mLeaseEnd; }

private:
  struct ZoneState
  {
    double mCapacity = 0;
    bool mIsHome = false;
    double mExcess = 0;
    /// Own part of (capacity - excess).
    double mOwn = 0;
    LoadEstimate mMeasured;
    CommitmentLedger mCommitted;
    CommitmentLedger mDemand;
    /// By borrower; a restarted borrower is another one, since the answers of
    /// the old incarnation still count.
    std::map<ShareMember, LoanLevels> mLent;
    double mLentNow = 0; ///< Sum over `mLent` at the last change or refresh.
    /// By lender.
    std::map<InstanceName, LoanLevels> mTaken;
    double mTakenUsable = 0; ///< Sum over `mTaken` until `mTakenUntil`.
    TimePoint mTakenUntil = TimePoint::min();
    /// Asked for in heartbeats that may still be answered.
    CommitmentLedger mAsked;
    /// Rate of the last answer asked for, and until when it counts as demand.
    double mLastRate = 0;
    TimePoint mLastUntil = TimePoint::min();
    /// Lifetime of the last answer.
    Duration mLifetime = std::chrono::seconds(5);
  };

  struct Peer
  {
    std::vector<double> mCommitted;
    TimePoint mLastHeardAt;
  };

  void Refresh(TimePoint aNow);
  double Fraction(const ZoneState& aState) const;
  void RefreshIfDue(TimePoint aNow);
  static double WithMargin(ZoneState& aState, TimePoint aNow);
  static double TakenUntil(const ZoneState& aState, TimePoint aEnd);
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
