#include "TrafficShift.h"

#include "Assert.h"
#include "HashOf.h"
#include "MixHash.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr Duration kProposalTimeout = std::chrono::seconds(10);
/// Minimum number of requests for which the error share is evaluated; fewer are
/// not significant.
constexpr uint64_t kMinRequests = 50;
constexpr double kMaxColdShare = 0.25;
constexpr double kRoundingTolerance = 1e-9;

constexpr std::string_view kLowHeadroom = "destination has lost headroom";
constexpr std::string_view kTooManyErrors =
  "too many errors at the destination";
constexpr std::string_view kColdCaches = "destination's caches are cold";
constexpr std::string_view kNoStepFits =
  "no step fits the step cap and the rate cap";

size_t FirstBucketFrom(double aShare)
{
  return size_t(aShare * double(ShiftDemand::kBuckets));
}

double LoadBetween(const ShiftDemand& aDemand, size_t aFrom, size_t aTo)
{
  double sum = 0;
  for (size_t i = aFrom; i < aTo; ++i) {
    sum += aDemand.At(i);
  }
  return sum;
}

Error InvalidState(const ShiftDeclaration& aShift, std::string_view aWhy)
{
  return Error{ .mCode = ResultCode::InvalidState,
                .mDetail =
                  "shift " + aShift.mName.Text() + " " + std::string(aWhy),
                .mPath = {} };
}

} // namespace

TrafficShift::TrafficShift(ShiftName aName)
  : mName(std::move(aName))
{
}

double TrafficShift::PositionOf(uint64_t aBlockHash, uint64_t aShiftHash)
{
  return HashToUnitInterval(MixHash(aShiftHash, aBlockHash));
}

uint64_t TrafficShift::HashOfShift(const ShiftName& aName)
{
  return HashOf({ "shift", aName.Text() });
}

bool TrafficShift::IsMoved(const ShiftDeclaration& aShift, double aPosition)
{
  return aShift.mState != ShiftState::RolledBack &&
         aPosition < std::min(aShift.mShare, aShift.mFinalShare);
}

void TrafficShift::Apply(const ShiftDeclaration& aShift,
                         uint64_t aGeneration,
                         TimePoint aNow)
{
  POLLENWAY_ASSERT(aShift.mName == mName, "declaration of another shift");
  if (aGeneration <= mGeneration) {
    return;
  }
  if (!mShift || mShift->mShare != aShift.mShare ||
      mShift->mState != aShift.mState) {
    mChangedAt = aNow;
    mPreviousStopReason = {};
    mRequests = 0;
    mFailures = 0;
  }
  mShift = aShift;
  mGeneration = aGeneration;
  mProposedAt = TimePoint::min();
}

ShiftAction TrafficShift::Wait(std::string_view aReason) const
{
  ShiftAction out;
  out.mWaitReason = aReason;
  return out;
}

ShiftAction TrafficShift::Propose(ShiftActionKind aKind,
                                  ShiftDeclaration aNext,
                                  TimePoint aNow)
{
  POLLENWAY_ASSERT(aNext.mShare <= aNext.mFinalShare + kRoundingTolerance,
                   "share above the final share");
  POLLENWAY_ASSERT(aNext.mShare <=
                     mShift->mShare + mShift->mStepCap + kRoundingTolerance,
                   "step exceeds the step cap");
  POLLENWAY_ASSERT(aNext.mShare >= mShift->mShare, "step lowers the share");
  mProposedAt = aNow;
  ShiftAction out;
  out.mKind = aKind;
  out.mExpectedGeneration = mGeneration;
  out.mNext = std::move(aNext);
  return out;
}

std::string_view TrafficShift::StopReason(
  const ShiftConditions& aConditions) const
{
  if (aConditions.mFreeShare &&
      *aConditions.mFreeShare < mShift->mMinHeadroom) {
    return kLowHeadroom;
  }
  if (mRequests >= kMinRequests &&
      double(mFailures) > mShift->mMaxErrorShare * double(mRequests)) {
    return kTooManyErrors;
  }
  if (mShift->mShare > 0 && aConditions.mColdShare > kMaxColdShare) {
    return kColdCaches;
  }
  return {};
}

double TrafficShift::NextShare(const ShiftDemand& aDemand) const
{
  const double limit =
    std::min(mShift->mShare + mShift->mStepCap, mShift->mFinalShare);
  const double stepLoad = mShift->mStepCap * aDemand.Total();
  const size_t first = FirstBucketFrom(mShift->mShare);
  const double moved = LoadBetween(aDemand, 0, first);
  double share = mShift->mShare;
  double step = 0;
  for (size_t i = first; i < ShiftDemand::kBuckets; ++i) {
    // A bucket that is split between two steps counts in full in both.
    step += aDemand.At(i);
    const bool fits =
      step <= stepLoad + kRoundingTolerance &&
      (mShift->mRateCap <= 0 || moved + step <= mShift->mRateCap);
    if (!fits || share >= limit) {
      break;
    }
    share = std::min(limit, double(i + 1) / double(ShiftDemand::kBuckets));
  }
  return share;
}

ShiftAction TrafficShift::Evaluate(const ShiftConditions& aConditions,
                                   TimePoint aNow)
{
  if (!mShift || mShift->mState != ShiftState::Running) {
    return Wait("operator");
  }
  if (mShift->mShare > mShift->mFinalShare) {
    // Only an operator can declare such a share; no step exceeds the final
    // share.
    return Wait("operator");
  }
  mRequests += aConditions.mRequests;
  mFailures += aConditions.mFailures;
  if (mProposedAt != TimePoint::min() &&
      aNow - mProposedAt < kProposalTimeout) {
    return Wait("store");
  }
  // A shift is paused only if two consecutive evaluations find the same stop
  // condition.
  const std::string_view reason = StopReason(aConditions);
  const bool confirmed = !reason.empty() && reason == mPreviousStopReason;
  mPreviousStopReason = reason;
  if (confirmed) {
    ShiftDeclaration next = *mShift;
    next.mState = ShiftState::Paused;
    next.mReason = reason;
    return Propose(ShiftActionKind::Pause, std::move(next), aNow);
  }
  if (!reason.empty()) {
    return Wait("confirmation of a stop condition");
  }
  if (mShift->mShare >= mShift->mFinalShare) {
    ShiftDeclaration next = *mShift;
    next.mState = ShiftState::Done;
    next.mReason.clear();
    return Propose(ShiftActionKind::Finish, std::move(next), aNow);
  }
  if (aNow - mChangedAt < mShift->mPace) {
    return Wait("pace");
  }
  if (!aConditions.mFreeShare || aConditions.mDemand.Total() <= 0) {
    return Wait("measurement");
  }
  ShiftDeclaration next = *mShift;
  next.mReason.clear();
  next.mShare = NextShare(aConditions.mDemand);
  if (next.mShare <= mShift->mShare) {
    next.mState = ShiftState::Paused;
    next.mReason = kNoStepFits;
    return Propose(ShiftActionKind::Pause, std::move(next), aNow);
  }
  POLLENWAY_ASSERT(
    next.mRateCap <= 0 ||
      LoadBetween(aConditions.mDemand, 0, FirstBucketFrom(next.mShare)) <=
        next.mRateCap + kRoundingTolerance,
    "moved load exceeds the rate cap");
  return Propose(ShiftActionKind::Step, std::move(next), aNow);
}

Result<ShiftDeclaration> TrafficShift::Resume(const ShiftDeclaration& aShift)
{
  if (aShift.mState != ShiftState::Paused) {
    return InvalidState(aShift, "is not paused");
  }
  ShiftDeclaration next = aShift;
  next.mState = ShiftState::Running;
  next.mReason.clear();
  return next;
}

Result<ShiftDeclaration> TrafficShift::Pause(const ShiftDeclaration& aShift)
{
  if (aShift.mState != ShiftState::Running) {
    return InvalidState(aShift, "is not running");
  }
  ShiftDeclaration next = aShift;
  next.mState = ShiftState::Paused;
  next.mReason.clear();
  return next;
}

Result<ShiftDeclaration> TrafficShift::RollBack(const ShiftDeclaration& aShift)
{
  if (aShift.mState == ShiftState::RolledBack) {
    return InvalidState(aShift, "is already rolled back");
  }
  ShiftDeclaration next = aShift;
  next.mState = ShiftState::RolledBack;
  next.mShare = 0;
  next.mReason.clear();
  return next;
}

} // namespace pollenway
