#include "TokenBucket.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

namespace {
// Tolerance for rounding errors when one whole token is refilled in many steps.
constexpr double kRoundingTolerance = 1e-9;
}

TokenBucket::TokenBucket(double aRate, double aDepth, TimePoint aStart)
  : mRate(aRate)
  , mDepth(aDepth)
  , mUpdatedAt(aStart)
{
}

bool TokenBucket::Take(double aCount, TimePoint aNow)
{
  Advance(aNow);
  if (mTokens + kRoundingTolerance < aCount) {
    return false;
  }
  mTokens = std::max(0.0, mTokens - aCount);
  return true;
}

bool TokenBucket::TakeHeld(double aCount,
                           TimePoint aNow,
                           TimePoint aUntil,
                           std::string aHolder,
                           uint64_t aRequest)
{
  if (!Take(aCount, aNow)) {
    return false;
  }
  if (aUntil > mUpdatedAt) {
    InsertHold({ aUntil, aCount, std::move(aHolder), aRequest });
  }
  CheckDepth();
  return true;
}

void TokenBucket::ReleaseHolds(std::string_view aHolder,
                               uint64_t aRequest,
                               TimePoint aNow)
{
  Advance(aNow);
  std::erase_if(mHolds, [&](const TokenHold& aHold) {
    if (aHold.mRequest > aRequest || aHold.mHolder != aHolder) {
      return false;
    }
    mHeld -= aHold.mAmount;
    return true;
  });
  if (mHolds.empty()) {
    mHeld = 0;
  }
}

void TokenBucket::AddHold(TokenHold aHold, TimePoint aNow)
{
  Advance(aNow);
  InsertHold(std::move(aHold));
  mTokens = std::min(mTokens, AvailableDepth());
}

void TokenBucket::Put(double aCount, TimePoint aNow)
{
  Advance(aNow);
  mTokens = std::max(mTokens, std::min(mTokens + aCount, AvailableDepth()));
  CheckDepth();
}

void TokenBucket::SetRateAndDepth(double aRate, double aDepth, TimePoint aNow)
{
  Advance(aNow);
  mRate = aRate;
  mDepth = aDepth;
  mTokens = std::min(mTokens, AvailableDepth());
}

void TokenBucket::Retire(TimePoint aNow)
{
  SetRateAndDepth(0, 0, aNow);
}

double TokenBucket::Tokens(TimePoint aNow)
{
  Advance(aNow);
  return mTokens;
}

double TokenBucket::Held(TimePoint aNow)
{
  Advance(aNow);
  return mHeld;
}

Duration TokenBucket::TimeUntil(double aCount, TimePoint aNow)
{
  Advance(aNow);
  if (mTokens + kRoundingTolerance >= aCount) {
    return Duration::zero();
  }
  if (mRate <= 0 || mDepth + kRoundingTolerance < aCount) {
    return Duration::max();
  }
  TimePoint at = mUpdatedAt + FromSeconds((aCount - mTokens) / mRate);
  double held = mHeld;
  for (const auto& it : mHolds) {
    if (mDepth - held + kRoundingTolerance >= aCount) {
      break;
    }
    held -= it.mAmount;
    at = std::max(at, it.mUntil);
  }
  return std::max(at - aNow, Duration::zero());
}

void TokenBucket::Advance(TimePoint aNow)
{
  // Holds are processed in order of expiry. The refill up to each expiry is
  // limited by the depth that the hold leaves free, even if the bucket was not
  // used between the expiry and now.
  size_t n = 0;
  while (n < mHolds.size() && mHolds[n].mUntil <= aNow) {
    RefillUntil(mHolds[n].mUntil);
    mHeld -= mHolds[n].mAmount;
    ++n;
  }
  mHolds.erase(mHolds.begin(), mHolds.begin() + ptrdiff_t(n));
  if (mHolds.empty()) {
    mHeld = 0;
  }
  RefillUntil(aNow);
  CheckDepth();
}

void TokenBucket::RefillUntil(TimePoint aTime)
{
  if (aTime <= mUpdatedAt) {
    return;
  }
  const double refill = mRate * ToSeconds(aTime - mUpdatedAt);
  mTokens = std::max(mTokens, std::min(mTokens + refill, AvailableDepth()));
  mUpdatedAt = aTime;
}

void TokenBucket::InsertHold(TokenHold aHold)
{
  mHeld += aHold.mAmount;
  const auto at =
    std::upper_bound(mHolds.begin(),
                     mHolds.end(),
                     aHold.mUntil,
                     [](TimePoint aUntil, const TokenHold& aOther) {
                       return aUntil < aOther.mUntil;
                     });
  mHolds.insert(at, std::move(aHold));
}

double TokenBucket::AvailableDepth() const
{
  return std::max(0.0, mDepth - mHeld);
}

void TokenBucket::CheckDepth() const
{
  POLLENWAY_ASSERT(mTokens >= 0, "a bucket has a negative number of tokens");
  POLLENWAY_ASSERT(mTokens <= AvailableDepth() + 1e-6,
                   "tokens and held tokens exceed the bucket's depth");
}

} // namespace pollenway
