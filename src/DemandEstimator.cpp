#include "DemandEstimator.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

constexpr Duration kHalfLife = std::chrono::seconds(30);
constexpr double kPriorAnswers = 3;
constexpr double kMaxRateFactor = 64;
/// Minimum count with which a block keeps its slot. Below it, another block
/// that maps to the slot replaces it.
constexpr float kMinKeptCount = 4;

} // namespace

DemandEstimator::DemandEstimator(double aDefaultRate, size_t aSlots)
  : mDefaultRate(aDefaultRate)
  , mSlots(aSlots)
{
}

DemandEstimator::Slot& DemandEstimator::SlotOf(uint64_t aBlockHash,
                                               TimePoint aNow)
{
  Slot& slot = mSlots[aBlockHash % mSlots.size()];
  const uint32_t tag = uint32_t(aBlockHash >> 32);
  const uint32_t halfLifeIndex = uint32_t(aNow.time_since_epoch() / kHalfLife);
  if (slot.mHalfLifeIndex != halfLifeIndex) {
    const float factor =
      std::exp2(-float(std::min(halfLifeIndex - slot.mHalfLifeIndex, 60u)));
    slot.mAnswers *= factor;
    slot.mRequests *= factor;
    slot.mHalfLifeIndex = halfLifeIndex;
  }
  if (slot.mTag != tag) {
    if (slot.mAnswers + slot.mRequests >= kMinKeptCount) {
      mOverflowSlot = {};
      return mOverflowSlot;
    }
    slot = { .mTag = tag,
             .mHalfLifeIndex = halfLifeIndex,
             .mAnswers = 0,
             .mRequests = 0 };
  }
  return slot;
}

void DemandEstimator::CountAnswer(uint64_t aBlockHash, TimePoint aNow)
{
  SlotOf(aBlockHash, aNow).mAnswers += 1;
}

void DemandEstimator::CountRequest(uint64_t aBlockHash, TimePoint aNow)
{
  SlotOf(aBlockHash, aNow).mRequests += 1;
}

double DemandEstimator::RatePerAnswer(uint64_t aBlockHash,
                                      Duration aTtl,
                                      TimePoint aNow)
{
  const Slot& slot = SlotOf(aBlockHash, aNow);
  const double ttl = ToSeconds(aTtl);
  const double rate =
    (double(slot.mRequests) + kPriorAnswers * mDefaultRate * ttl) /
    ((double(slot.mAnswers) + kPriorAnswers) * ttl);
  return std::clamp(
    rate, mDefaultRate / kMaxRateFactor, mDefaultRate * kMaxRateFactor);
}

} // namespace pollenway
