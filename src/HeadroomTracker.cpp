#include "HeadroomTracker.h"

#include "Assert.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);
/// A borrower stops using a loan this much earlier than its lender. This covers
/// clock rates that differ by up to one fifteenth of the lifetime.
constexpr Duration kLoanMargin = std::chrono::seconds(1);
/// Loans that end within this time are not counted when new ones are requested.
constexpr Duration kLoanRenewalTime = std::chrono::seconds(2);
constexpr Duration kLoanRequestTimeout = std::chrono::seconds(1);
/// Fraction of the free headroom that may be lent per heartbeat.
constexpr double kMaxLendFraction = 0.5;
/// Factor by which kept or borrowed headroom exceeds the current demand.
/// Without it, a borrower requests a loan only after it has refused a caller.
constexpr double kDemandMargin = 1.25;
/// Headroom for this number of answers is kept for a minute after the last
/// demand, so that infrequent look-ups for another zone don't each have to wait
/// for a loan.
constexpr double kReservedAnswers = 4;
constexpr Duration kReserveTime = std::chrono::seconds(60);
/// Tolerance for rounding errors in sums of rates, relative to the capacity.
constexpr double kRounding = 1e-9;

} // namespace

HeadroomTracker::HeadroomTracker(HeadroomOptions aOptions,
                                 const Inventory& aInventory)
  : mOptions(std::move(aOptions))
  , mShare(mOptions.mSelf, mOptions.mMaxLifetime)
{
  POLLENWAY_ASSERT(mOptions.mMaxLifetime <= CommitmentLedger::kMaxLifetime,
                   "the maximum lifetime exceeds that of the ledger");
  SetInventory(aInventory, TimePoint::min());
}

void HeadroomTracker::SetInventory(const Inventory& aInventory, TimePoint aNow)
{
  const ZoneNumbering old = mNumbering;
  std::vector<ZoneState> oldZones = std::move(mZones);
  mNumbering = ZoneNumbering(aInventory);
  mZones = std::vector<ZoneState>(mNumbering.Zones());
  const size_t ownZone = mNumbering.FindZone(mOptions.mZone);
  for (size_t zone = 0; zone < mZones.size(); ++zone) {
    ZoneState& state = mZones[zone];
    const size_t previous = old.FindZone(mNumbering.NameOfZone(zone));
    if (previous != ZoneNumbering::kNone) {
      state = std::move(oldZones[previous]);
    }
    const size_t region = mNumbering.RegionOfZone(zone);
    const double zonesInRegion = double(mNumbering.ZonesOf(region).size());
    state.mCapacity = aInventory.mRegions[region].mCapacity / zonesInRegion;
    state.mIsOwnZone = zone == ownZone;
  }
  const auto renumber = [&](auto& aPeers) {
    for (auto& it : aPeers) {
      std::vector<double> committed(mZones.size(), 0);
      for (size_t zone = 0; zone < old.Zones(); ++zone) {
        const size_t now = mNumbering.FindZone(old.NameOfZone(zone));
        if (now != ZoneNumbering::kNone) {
          committed[now] = it.second.mCommitted[zone];
        }
      }
      it.second.mCommitted = std::move(committed);
    }
  };
  renumber(mPeers);
  renumber(mOtherZones);
  if (aNow != TimePoint::min()) {
    Refresh(aNow);
  }
}

void HeadroomTracker::ApplyZoneView(const ShareView& aView, TimePoint aNow)
{
  mShare.ApplyView(aView, aNow);
  Refresh(aNow);
}

void HeadroomTracker::OnLoadReport(const LoadReport& aReport)
{
  const size_t zone = mNumbering.FindZone(aReport.mZone);
  if (zone != ZoneNumbering::kNone) {
    mZones[zone].mMeasured.Add(aReport);
  }
}

void HeadroomTracker::OnSummary(const SteeringSummary& aSummary, TimePoint aNow)
{
  const bool sameZone = aSummary.mZone == mOptions.mZone;
  if (sameZone) {
    mShare.OnConfirmed(aSummary.mSender, aSummary.mConfirmedView, aNow);
  }
  Peer& peer =
    sameZone ? mPeers[aSummary.mSender.mName] : mOtherZones[aSummary.mZone];
  peer.mLastReceivedAt = aNow;
  peer.mCommitted.assign(mZones.size(), 0);
  for (const auto& it : aSummary.mZones) {
    const size_t zone = mNumbering.FindZone(it.mZone);
    if (zone != ZoneNumbering::kNone && std::isfinite(it.mCommitted)) {
      peer.mCommitted[zone] = std::max(0.0, it.mCommitted);
    }
  }
}

std::vector<HeadroomLoan> HeadroomTracker::Lend(const SteeringSummary& aSummary,
                                                TimePoint aNow)
{
  RefreshIfDue(aNow);
  std::vector<HeadroomLoan> out;
  if (!HasLease(aNow)) {
    return out;
  }
  for (const auto& it : aSummary.mZones) {
    const size_t zone = mNumbering.FindZone(it.mZone);
    if (zone == ZoneNumbering::kNone || !(it.mWanted > 0)) {
      continue;
    }
    ZoneState& state = mZones[zone];
    if (!state.mIsOwnZone) {
      continue;
    }
    RefreshLoans(state, aNow);
    LoanLevels& lent = state.mLent[aSummary.mSender];
    const double old = lent.RateUntil(aNow);
    const double free =
      state.mOwned - state.mTotalLent - DemandWithMargin(state, aNow);
    const double rate =
      std::min(it.mWanted, old + std::max(0.0, free * kMaxLendFraction));
    lent.Set(rate, aNow + mOptions.mMaxLifetime);
    state.mTotalLent += lent.RateUntil(aNow) - old;
    if (rate > old) {
      AssertWithinCapacity(state, aNow + mOptions.mMaxLifetime, aNow);
    }
    out.push_back({ .mZone = it.mZone, .mRate = rate });
  }
  return out;
}

void HeadroomTracker::OnLoans(const InstanceName& aLender,
                              const std::vector<HeadroomLoan>& aLoans,
                              TimePoint aSentAt,
                              TimePoint aNow)
{
  const TimePoint end = aSentAt + mOptions.mMaxLifetime - kLoanMargin;
  for (const auto& it : aLoans) {
    const size_t zone = mNumbering.FindZone(it.mZone);
    if (zone != ZoneNumbering::kNone && std::isfinite(it.mRate) &&
        it.mRate > 0 && end > aNow) {
      mZones[zone].mBorrowed[aLender].Set(it.mRate, end);
      RefreshLoans(mZones[zone], aNow);
    }
  }
}

void HeadroomTracker::FillSummary(SteeringSummary& aSummary,
                                  const InstanceName& aPeer,
                                  bool aForZone,
                                  TimePoint aNow)
{
  RefreshIfDue(aNow);
  aSummary.mSender = mOptions.mSelf;
  aSummary.mZone = mOptions.mZone;
  bool fits = true;
  for (size_t zone = 0; zone < mZones.size(); ++zone) {
    ZoneState& state = mZones[zone];
    const double committed = state.mCommitted.Total(aNow);
    fits &= committed + state.mTotalLent <= state.mOwned;
    ZoneCommitment out{ .mZone = mNumbering.NameOfZone(zone),
                        .mCommitted = committed,
                        .mWanted = 0 };
    if (aForZone) {
      for (const auto& it : mPeers) {
        if (aNow - it.second.mLastReceivedAt < mOptions.mMaxLifetime) {
          out.mCommitted += it.second.mCommitted[zone];
        }
      }
    }
    // What the peer has already lent, plus what is missing or minus what is no
    // longer needed.
    const TimePoint end = aNow + state.mLifetime + kLoanRenewalTime;
    const double missing = DemandWithMargin(state, aNow) + state.mTotalLent -
                           state.mOwned - state.mRequested.Total(aNow) -
                           BorrowedUntil(state, end);
    const auto loan = state.mBorrowed.find(aPeer);
    const double lentByPeer =
      loan == state.mBorrowed.end() ? 0 : loan->second.RateUntil(end);
    out.mWanted = std::max(0.0, lentByPeer + missing);
    if (missing > 0) {
      state.mRequested.Add(missing, kLoanRequestTimeout, aNow);
    }
    if (out.mCommitted > 0 || out.mWanted > 0) {
      aSummary.mZones.push_back(std::move(out));
    }
  }
  aSummary.mConfirmedView = mShare.Confirm(fits, aNow);
  aSummary.mIsReady = mShare.IsSettled();
}

bool HeadroomTracker::TryCommit(size_t aZone,
                                double aRate,
                                Duration aLifetime,
                                TimePoint aNow)
{
  RefreshIfDue(aNow);
  ZoneState& state = mZones[aZone];
  state.mLifetime = aLifetime;
  if (!HasLease(aNow) ||
      state.mCommitted.Total(aNow) + aRate > Budget(aZone, aLifetime, aNow)) {
    return false;
  }
  state.mCommitted.Add(aRate, aLifetime, aNow);
  AssertWithinCapacity(state, aNow + aLifetime, aNow);
  return true;
}

void HeadroomTracker::CountDemand(size_t aZone,
                                  double aRate,
                                  Duration aLifetime,
                                  TimePoint aNow)
{
  ZoneState& state = mZones[aZone];
  state.mDemand.Add(aRate, aLifetime, aNow);
  state.mReserveRate = aRate;
  state.mReserveUntil = aNow + kReserveTime;
}

double HeadroomTracker::Budget(size_t aZone, Duration aLifetime, TimePoint aNow)
{
  RefreshIfDue(aNow);
  ZoneState& state = mZones[aZone];
  // The ledger rounds expiries up, so a loan must last one bucket longer.
  const TimePoint end = aNow + aLifetime + CommitmentLedger::kBucketInterval;
  return state.mOwned - state.mTotalLent +
         (end <= state.mBorrowedUntil ? state.mBorrowedUsable
                                      : BorrowedUntil(state, end));
}

double HeadroomTracker::Owned(size_t aZone, TimePoint aNow)
{
  RefreshIfDue(aNow);
  return mZones[aZone].mOwned;
}

double HeadroomTracker::Committed(size_t aZone, TimePoint aNow)
{
  return mZones[aZone].mCommitted.Total(aNow);
}

std::optional<double> HeadroomTracker::FreeShare(size_t aRegion, TimePoint aNow)
{
  RefreshIfDue(aNow);
  double capacity = 0;
  double used = 0;
  for (const size_t zone : mNumbering.ZonesOf(aRegion)) {
    ZoneState& state = mZones[zone];
    if (!state.mMeasured.IsCurrent()) {
      return std::nullopt;
    }
    capacity += state.mCapacity;
    used += std::max(*state.mMeasured.Accepted(),
                     state.mCommitted.Total(aNow) + PeersCommitted(zone, aNow));
  }
  if (capacity <= 0) {
    return std::nullopt;
  }
  return std::max(0.0, 1 - used / capacity);
}

double HeadroomTracker::Fraction(const ZoneState& aState) const
{
  return aState.mIsOwnZone ? mShare.Fraction() : 0;
}

double HeadroomTracker::DemandWithMargin(ZoneState& aState, TimePoint aNow)
{
  const double reserve =
    aNow < aState.mReserveUntil ? kReservedAnswers * aState.mReserveRate : 0;
  return std::max(reserve,
                  kDemandMargin * std::max(aState.mCommitted.Total(aNow),
                                           aState.mDemand.Total(aNow)));
}

void HeadroomTracker::RefreshIfDue(TimePoint aNow)
{
  if (mRefreshedAt == TimePoint::min() ||
      aNow - mRefreshedAt >= kRefreshInterval) {
    Refresh(aNow);
  }
}

void HeadroomTracker::Refresh(TimePoint aNow)
{
  mRefreshedAt = aNow;
  mShare.Update(aNow);
  for (size_t zone = 0; zone < mZones.size(); ++zone) {
    ZoneState& state = mZones[zone];
    RefreshLoans(state, aNow);
    state.mMeasured.Update(state.mCapacity, aNow);
    if (state.mMeasured.IsCurrent()) {
      state.mExcess =
        std::max(0.0,
                 *state.mMeasured.Accepted() - state.mCommitted.Total(aNow) -
                   PeersCommitted(zone, aNow));
    } else if (!state.mMeasured.Accepted()) {
      state.mExcess = state.mCapacity * mOptions.mUnmeasuredReserve;
    }
    // Otherwise the excess from the last accepted measurement is kept.
    state.mOwned =
      Fraction(state) * std::max(0.0, state.mCapacity - state.mExcess);
  }
}

double HeadroomTracker::BorrowedUntil(const ZoneState& aState, TimePoint aEnd)
{
  double sum = 0;
  for (const auto& it : aState.mBorrowed) {
    sum += it.second.RateUntil(aEnd);
  }
  return sum;
}

void HeadroomTracker::RefreshLoans(ZoneState& aState, TimePoint aNow)
{
  const auto prune = [aNow](auto& aLoans) {
    for (auto it = aLoans.begin(); it != aLoans.end();) {
      it = it->second.Prune(aNow) ? std::next(it) : aLoans.erase(it);
    }
  };
  prune(aState.mLent);
  prune(aState.mBorrowed);
  aState.mTotalLent = 0;
  for (const auto& it : aState.mLent) {
    aState.mTotalLent += it.second.RateUntil(aNow);
  }
  aState.mBorrowedUntil = aNow + aState.mLifetime +
                          CommitmentLedger::kBucketInterval + kRefreshInterval;
  aState.mBorrowedUsable = BorrowedUntil(aState, aState.mBorrowedUntil);
}

double HeadroomTracker::PeersCommitted(size_t aZone, TimePoint aNow) const
{
  double sum = 0;
  const auto add = [&](const auto& aPeers) {
    for (const auto& it : aPeers) {
      // After this time, all answers that the peer reported have expired.
      if (aNow - it.second.mLastReceivedAt < mOptions.mMaxLifetime) {
        sum += it.second.mCommitted[aZone];
      }
    }
  };
  add(mPeers);
  add(mOtherZones);
  return sum;
}

void HeadroomTracker::AssertWithinCapacity(ZoneState& aState,
                                           TimePoint aEnd,
                                           TimePoint aNow) const
{
  const double used = aState.mCommitted.Total(aNow) + aState.mTotalLent;
  const double excess =
    Fraction(aState) * std::min(aState.mExcess, aState.mCapacity);
  const double owned = Fraction(aState) * aState.mCapacity;
  POLLENWAY_ASSERT(
    used + excess <=
      owned + BorrowedUntil(aState, aEnd) + kRounding * aState.mCapacity,
    "answers, loans and measured load exceed the usable capacity");
}

} // namespace pollenway
