#pragma once

#include "Time.h"

#include <cstdint>
#include <vector>

namespace pollenway {

/// Estimates, for each client block, the rate of the requests that follow one
/// look-up's answer: requests of the block per answer to the block, divided by
/// the TTL. Both are counted at this instance. They reach the instances in the
/// same proportion, so the quotient holds for the block as a whole.
///
/// Counts halve every 30 s. Three answers at the default rate are counted in
/// advance, so a block that is new or rarely seen gets the default. The table
/// has a fixed size; of two blocks that map to one slot, the more frequent one
/// is kept.
class DemandEstimator
{
public:
  /// `aDefaultRate` is the rate assumed for unknown blocks, in requests/s per
  /// answer.
  explicit DemandEstimator(double aDefaultRate, size_t aSlots = 1 << 16);

  void CountAnswer(uint64_t aBlockHash, TimePoint aNow);
  void CountRequest(uint64_t aBlockHash, TimePoint aNow);

  /// Returns the expected requests/s per answer that is valid for `aTtl`,
  /// within a factor of 64 of the default.
  double RatePerAnswer(uint64_t aBlockHash, Duration aTtl, TimePoint aNow);

private:
  struct Slot
  {
    uint32_t mTag = 0;
    uint32_t mHalfLifeIndex = 0;
    float mAnswers = 0;
    float mRequests = 0;
  };

  Slot& SlotOf(uint64_t aBlockHash, TimePoint aNow);

  double mDefaultRate;
  std::vector<Slot> mSlots;
  /// Receives the counts of blocks that have no slot of their own.
  Slot mOverflowSlot;
};

} // namespace pollenway
