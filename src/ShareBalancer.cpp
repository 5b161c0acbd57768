#include "ShareBalancer.h"

#include "Assert.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenway {

ShareBalancer::ShareBalancer(ZoneName aZone, Options aOptions)
  : mZone(std::move(aZone))
  , mOptions(aOptions)
{
}

void ShareBalancer::RequireFence()
{
  mFenceRequired = true;
  mFenceBase = 0;
  RequireRead();
}

void ShareBalancer::RequireRead()
{
  mNeedsRead = true;
  ++mReadSerial;
}

std::optional<uint64_t> ShareBalancer::NeededRead() const
{
  return mNeedsRead ? std::optional(mReadSerial) : std::nullopt;
}

void ShareBalancer::Restore(const std::optional<Allotment>& aCommitted,
                            const std::optional<PendingMove>& aPending)
{
  mPending = aPending;
  mInFlight.reset();
  mFenceRequired = false;
  mFenceBase = 0;
  if (aCommitted) {
    OnCommitted(*aCommitted);
  }
  if (mPending && mCommitted &&
      mCommitted->Version() > mPending->mWrite.mBaseVersion) {
    mPending.reset();
  }
  RequireRead();
}

void ShareBalancer::OnStoreRead(uint64_t aSerial,
                                const std::optional<Allotment>& aRead)
{
  if (!mNeedsRead || aSerial != mReadSerial) {
    return;
  }
  mNeedsRead = false;
  // An object that existed before is not recreated. If the store lost it, an
  // operator must repair the store.
  mIsAbsent = !aRead && !mCommitted;
  if (!aRead) {
    return;
  }
  OnCommitted(*aRead);
  if (mFenceRequired && mFenceBase == 0) {
    mFenceBase = aRead->Version();
  }
}

void ShareBalancer::OnCommitted(const Allotment& aCommitted)
{
  if (mCommitted && aCommitted.Version() <= mCommitted->Version()) {
    return;
  }
  const uint64_t before = mCommitted ? mCommitted->Version() : 0;
  mCommitted = aCommitted;
  POLLENWAY_ASSERT(mCommitted->Version() > before,
                   "an allotment's version did not increase");
  if (mIsAbsent && mFenceRequired && mFenceBase == 0) {
    // Another zone created the object after this zone had read that it was
    // absent. Without another read, the fence would have no base version.
    RequireRead();
  }
  mIsAbsent = false;
  if (mPending && aCommitted.Version() > mPending->mWrite.mBaseVersion) {
    mPending.reset();
  }
  if (mFenceBase != 0 && aCommitted.Version() > mFenceBase) {
    mFenceRequired = false;
    mFenceBase = 0;
  }
}

bool ShareBalancer::UsesSingleZone(double aRate,
                                   double aBurst,
                                   size_t aZones) const
{
  return aBurst < mOptions.mMinBurstPerZone * double(aZones) ||
         aRate < mOptions.mMinRate;
}

void ShareBalancer::ConsiderMove(const std::map<ZoneName, ZoneDemand>& aDemand,
                                 double aRate,
                                 double aBurst,
                                 TimePoint aNow)
{
  if (mPending || mInFlight || mFenceRequired || mNeedsRead || !mCommitted ||
      aNow < mNextMoveAt || UsableFraction() == 0) {
    return;
  }
  const Move move = UsesSingleZone(aRate, aBurst, aDemand.size())
                      ? ChooseSingleZoneMove(aDemand)
                      : ChooseDividedMove(aDemand);
  if (move.mAmount == 0) {
    return;
  }
  mNextMoveAt = aNow + mOptions.mMoveInterval;
  mPending = PendingMove{
    .mWrite = { .mBaseVersion = mCommitted->Version(),
                .mValue = mCommitted->Moved(mZone, move.mTo, move.mAmount) },
    .mMaxFraction = mCommitted->Fraction(mZone) - move.mAmount
  };
}

ShareBalancer::Move ShareBalancer::ChooseSingleZoneMove(
  const std::map<ZoneName, ZoneDemand>& aDemand) const
{
  // The zone with the largest fraction is the workspace's current zone. All
  // zones see the same committed fractions and so agree on it.
  const ZoneName* current = nullptr;
  uint32_t maxFraction = 0;
  for (const auto& it : mCommitted->Fractions()) {
    if (it.second > maxFraction) {
      maxFraction = it.second;
      current = &it.first;
    }
  }
  double maxDemand = 0;
  if (const auto it = aDemand.find(*current); it != aDemand.end()) {
    maxDemand =
      std::max(it->second.mPerSecond, 1e-3) * mOptions.mSingleZoneHysteresis;
  }
  const ZoneName* to = current;
  for (const auto& it : aDemand) {
    if (it.second.mIsCurrent && it.second.mPerSecond > maxDemand) {
      maxDemand = it.second.mPerSecond;
      to = &it.first;
    }
  }
  if (*to == mZone) {
    return {};
  }
  const auto it = aDemand.find(*to);
  if (it == aDemand.end() || !it->second.mIsCurrent) {
    return {};
  }
  const uint32_t own = mCommitted->Fraction(mZone);
  return { *to, own - std::min(own, mOptions.mSingleZoneReserve) };
}

ShareBalancer::Move ShareBalancer::ChooseDividedMove(
  const std::map<ZoneName, ZoneDemand>& aDemand) const
{
  double sum = 0;
  for (const auto& it : aDemand) {
    sum += it.second.mPerSecond;
  }
  if (sum <= 0) {
    return {};
  }
  const double free =
    double(Allotment::kWhole) - double(mOptions.mReserve) * aDemand.size();
  const auto target = [&](const ZoneDemand& aZone) {
    return mOptions.mReserve + free * aZone.mPerSecond / sum;
  };
  const auto own = aDemand.find(mZone);
  const double ownTarget = own == aDemand.end() ? 0 : target(own->second);
  const double ownFraction = mCommitted->Fraction(mZone);
  const double surplus = ownFraction - ownTarget;
  if (surplus < mOptions.mMinMove ||
      surplus < ownTarget * mOptions.mHysteresis) {
    return {};
  }
  const ZoneName* to = nullptr;
  double maxDeficit = 0;
  for (const auto& it : aDemand) {
    const double deficit = target(it.second) - mCommitted->Fraction(it.first);
    if (it.first != mZone && it.second.mIsCurrent && deficit > maxDeficit) {
      maxDeficit = deficit;
      to = &it.first;
    }
  }
  const double amount = std::min(surplus, maxDeficit);
  if (!to || amount < mOptions.mMinMove) {
    return {};
  }
  return { *to, uint32_t(amount) };
}

std::optional<AllotmentWrite> ShareBalancer::NextWrite(
  const Allotment& aInitial,
  bool aHoldsFit,
  TimePoint aNow)
{
  if (mNeedsRead || mInFlight || aNow < mNextWriteAt) {
    return std::nullopt;
  }
  if (mIsAbsent) {
    mInFlight = AllotmentWrite{ .mBaseVersion = 0, .mValue = aInitial };
  } else if (!mCommitted) {
    return std::nullopt;
  } else if (mPending) {
    if (!aHoldsFit) {
      return std::nullopt;
    }
    mInFlight = mPending->mWrite;
  } else if (mFenceRequired && mFenceBase != 0) {
    mInFlight = AllotmentWrite{ .mBaseVersion = mCommitted->Version(),
                                .mValue = mCommitted->Moved(mZone, mZone, 0) };
  }
  if (mInFlight) {
    mInFlight->mSerial = ++mWriteSerial;
  }
  return mInFlight;
}

void ShareBalancer::OnWriteResult(uint64_t aSerial,
                                  MoveOutcome aOutcome,
                                  TimePoint aNow)
{
  if (!mInFlight || mInFlight->mSerial != aSerial) {
    return;
  }
  const AllotmentWrite write = *std::exchange(mInFlight, std::nullopt);
  if (aOutcome == MoveOutcome::Committed) {
    // No other write with this base or a higher one has been committed since
    // the takeover, so no write of a predecessor can still take effect.
    mFenceRequired = false;
    mFenceBase = 0;
    OnCommitted(write.mValue);
    return;
  }
  RequireRead();
  mNextWriteAt = aNow + mOptions.mRetryInterval;
}

uint32_t ShareBalancer::UsableFraction() const
{
  if (!mCommitted || mFenceRequired) {
    return 0;
  }
  const uint32_t committed = mCommitted->Fraction(mZone);
  return mPending ? std::min(committed, mPending->mMaxFraction) : committed;
}

} // namespace pollenway
