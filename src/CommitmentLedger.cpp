#include "CommitmentLedger.h"

#include "Assert.h"

#include <algorithm>
#include <numeric>

namespace pollenway {

void CommitmentLedger::Add(double aRate, Duration aLifetime, TimePoint aNow)
{
  POLLENWAY_ASSERT(aLifetime <= kMaxLifetime,
                   "the lifetime exceeds the ledger's maximum");
  Total(aNow);
  // The last bucket that starts before the expiry.
  const Duration expiry = (aNow + aLifetime).time_since_epoch();
  const int64_t last =
    std::max(mCurrentBucket,
             (expiry + kBucketInterval - Duration(1)) / kBucketInterval - 1);
  mRates[size_t(last) % kBuckets] += aRate;
  mTotal += aRate;
}

double CommitmentLedger::Total(TimePoint aNow)
{
  const int64_t now = aNow.time_since_epoch() / kBucketInterval;
  if (now <= mCurrentBucket) {
    return mTotal;
  }
  for (int64_t i = mCurrentBucket;
       i < now && i < mCurrentBucket + int64_t(kBuckets);
       ++i) {
    mRates[size_t(i) % kBuckets] = 0;
  }
  mCurrentBucket = now;
  // Recomputed from the buckets, so that rounding errors don't accumulate.
  mTotal = std::accumulate(mRates.begin(), mRates.end(), 0.0);
  return mTotal;
}

} // namespace pollenway
