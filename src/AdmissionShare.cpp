#include "AdmissionShare.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Fraction of the headroom that is allocated to client blocks. The rest
/// absorbs the differences in load between blocks.
constexpr double kAllocatedFraction = 0.85;
constexpr double kLowerThreshold = 0.01;
constexpr double kRaiseThreshold = 0.08;
constexpr double kRaiseStep = 0.05;
constexpr Duration kRaiseDelay = std::chrono::seconds(15);

} // namespace

void AdmissionShare::Share::MoveTo(double aTarget, TimePoint aNow)
{
  const double target = std::clamp(aTarget, 0.0, 1.0);
  if (target < mValue - kLowerThreshold) {
    mValue = target;
    mLoweredAt = aNow;
    return;
  }
  const bool isRaiseDelayed =
    mLoweredAt != TimePoint::min() && aNow - mLoweredAt < kRaiseDelay;
  if (!isRaiseDelayed && (target == 1 || target > mValue + kRaiseThreshold)) {
    mValue = std::min(target, mValue + kRaiseStep);
  }
}

void AdmissionShare::Update(const Inputs& aInputs, TimePoint aNow)
{
  if (aInputs.mBudget <= 0) {
    // No budget is known. HeadroomTracker still limits what is committed.
    return;
  }
  const double budget = aInputs.mBudget * kAllocatedFraction;
  mFirstChoice.MoveTo(
    aInputs.mFirstChoice > budget ? budget / aInputs.mFirstChoice : 1, aNow);
  const double rest = std::max(0.0, budget - aInputs.mFirstChoice);
  mSpilled.MoveTo(aInputs.mSpilled > rest ? rest / aInputs.mSpilled : 1, aNow);
}

void AdmissionShare::Adopt(double aFirstChoice, double aSpilled, TimePoint aNow)
{
  const auto adopt = [aNow](Share& aShare, double aValue) {
    if (aValue < aShare.mValue) {
      aShare.mLoweredAt = aNow;
    }
    aShare.mValue = std::clamp(aValue, 0.0, 1.0);
  };
  adopt(mFirstChoice, aFirstChoice);
  adopt(mSpilled, aSpilled);
}

} // namespace pollenway
