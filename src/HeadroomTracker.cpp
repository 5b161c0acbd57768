#include "HeadroomTracker.h"

#include "Assert.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);
/// A borrower stops this much earlier than its lender counts: covers a clock
/// rate that differs by up to a fifteenth of the lifetime.
constexpr Duration kLoanMargin = std::chrono::seconds(1);
/// Loans that end sooner don't count when new ones are asked for.
constexpr Duration kLoanRenewal = std::chrono::seconds(2);
constexpr Duration kAskTimeout = std::chrono::seconds(1);
/// Part of the free headroom that one heartbeat may borrow.
constexpr double kLendPart = 0.5;
/// Headroom kept or borrowed ahead of the present demand. Without it a borrower
/// asks only after it has turned a caller away.
constexpr double kDemandMargin = 1.25;
/// Headroom for so many answers is kept for a minute after the last demand, so
/// that rare look-ups for another zone don't each have to wait for a loan.
constexpr double kReservedAnswers = 4;
constexpr Duration kReserveTime = std::chrono::seconds(60);
/// Rounding of sums of rates, relative to the capacity.
constexpr double kRounding = 1e-9;

} // namespace

HeadroomTracker::HeadroomTracker(HeadroomOptions aOptions,
                                 const Inventory& aInventory)
  : mOptions(std::move(aOptions))
  , mShare(mOptions.mSelf, mOptions.mMaxLifetime)
{
  POLLENWAY_ASSERT(mOptions.mMaxLifetime <= CommitmentLedger::kMaxLifetime,
                   "lifetimes fit the ledger");
  SetInventory(aInventory, TimePoint::min());
}

void HeadroomTracker::SetInventory(const Inventory& aInventory, TimePoint aNow)
{
  const ZoneNumbering old = mNumbering;
  std::vector<ZoneState> oldZones = std::move(mZones);
  mNumbering = ZoneNumbering(aInventory);
  mZones = std::vector<ZoneState>(mNumbering.Zones());
  const size_t home = mNumbering.FindZone(mOptions.mZone);
  for (size_t zone = 0; zone < mZones.size(); ++zone) {
    ZoneState& state = mZones[zone];
    const size_t previous = old.FindZone(mNumbering.NameOfZone(zone));
    if (previous != ZoneNumbering::kNone) {
      state = std::move(oldZones[previous]);
    }
    const size_t region = mNumbering.RegionOfZone(zone);
    const double siblings = double(mNumbering.ZonesOf(region).size());
    state.mCapacity = aInventory.mRegions[region].mCapacity / siblings;
    state.mIsHome = zone == home;
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
  peer.mLastHeardAt = aNow;
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
    if (!state.mIsHome) {
      continue;
    }
    RefreshLoans(state, aNow);
    LoanLevels& lent = state.mLent[aSummary.mSender];
    const double old = lent.Until(aNow);
    const double free = state.mOwn - state.mLentNow - WithMargin(state, aNow);
    const double rate =
      std::min(it.mWanted, old + std::max(0.0, free * kLendPart));
    lent.Set(rate, aNow + mOptions.mMaxLifetime);
    state.mLentNow += lent.Until(aNow) - old;
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
      mZones[zone].mTaken[aLender].Set(it.mRate, end);
      RefreshLoans(mZones[zone], aNow);
    }
  }
}

void HeadroomTracker::Describe(SteeringSummary& aSummary,
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
    fits &= committed + state.mLentNow <= state.mOwn;
    ZoneCommitment out{ .mZone = mNumbering.NameOfZone(zone),
                        .mCommitted = committed,
                        .mWanted = 0 };
    if (aForZone) {
      for (const auto& it : mPeers) {
        if (aNow - it.second.mLastHeardAt < mOptions.mMaxLifetime) {
          out.mCommitted += it.second.mCommitted[zone];
        }
      }
    }
    // What the peer lent already, plus or less what is missing or not needed.
    const TimePoint end = aNow + state.mLifetime + kLoanRenewal;
    const double missing = WithMargin(state, aNow) + state.mLentNow -
                           state.mOwn - state.mAsked.Total(aNow) -
                           TakenUntil(state, end);
    const auto loan = state.mTaken.find(aPeer);
    const double level =
      loan == state.mTaken.end() ? 0 : loan->second.Until(end);
    out.mWanted = std::max(0.0, level + missing);
    if (missing > 0) {
      state.mAsked.Add(missing, kAskTimeout, aNow);
    }
    if (out.mCommitted > 0 || out.mWanted > 0) {
      aSummary.mZones.push_back(std::move(out));
    }
  }
  aSummary.mConfirmedView = mShare.Confirm(fits, aNow);
  aSummary.mIsReady = mShare.IsSettled();
}

bool HeadroomTracker::TryPromise(size_t aZone,
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
  state.mLastRate = aRate;
  state.mLastUntil = aNow + kReserveTime;
}

double HeadroomTracker::Budget(size_t aZone, Duration aLifetime, TimePoint aNow)
{
  RefreshIfDue(aNow);
  ZoneState& state = mZones[aZone];
  // The ledger rounds expiries up, so a loan has to last a bucket longer.
  const TimePoint end = aNow + aLifetime + CommitmentLedger::kBucket;
  return state.mOwn - state.mLentNow +
         (end <= state.mTakenUntil ? state.mTakenUsable
                                   : TakenUntil(state, end));
}

double HeadroomTracker::Owned(size_t aZone, TimePoint aNow)
{
  RefreshIfDue(aNow);
  return mZones[aZone].mOwn;
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
  return aState.mIsHome ? mShare.Fraction() : 0;
}

double HeadroomTracker::WithMargin(ZoneState& aState, TimePoint aNow)
{
  const double reserve =
    aNow < aState.mLastUntil ? kReservedAnswers * aState.mLastRate : 0;
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
    // Otherwise the excess of the last accepted measurement holds.
    state.mOwn =
      Fraction(state) * std::max(0.0, state.mCapacity - state.mExcess);
  }
}

double HeadroomTracker::TakenUntil(const ZoneState& aState, TimePoint aEnd)
{
  double sum = 0;
  for (const auto& it : aState.mTaken) {
    sum += it.second.Until(aEnd);
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
  prune(aState.mTaken);
  aState.mLentNow = 0;
  for (const auto& it : aState.mLent) {
    aState.mLentNow += it.second.Until(aNow);
  }
  aState.mTakenUntil =
    aNow + aState.mLifetime + CommitmentLedger::kBucket + kRefreshInterval;
  aState.mTakenUsable = TakenUntil(aState, aState.mTakenUntil);
}

double HeadroomTracker::PeersCommitted(size_t aZone, TimePoint aNow) const
{
  double sum = 0;
  const auto add = [&](const auto& aPeers) {
    for (const auto& it : aPeers) {
      // By then all answers that the peer told of have expired.
      if (aNow - it.second.mLastHeardAt < mOptions.mMaxLifetime) {
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
  const double used = aState.mCommitted.Total(aNow) + aState.mLentNow;
  const double excess =
    Fraction(aState) * std::min(aState.mExcess, aState.mCapacity);
  const double owned = Fraction(aState) * aState.mCapacity;
  POLLENWAY_ASSERT(used + excess <= owned + TakenUntil(aState, aEnd) +
                                      kRounding * aState.mCapacity,
                   "answers and measured load exceed the owned capacity");
}

} // namespace pollenway
