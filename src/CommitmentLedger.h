#pragma once

#include "Time.h"

#include <array>
#include <cstdint>

namespace pollenway {

/// Sum of rates (requests/s) that each count until an expiry. Expiries are
/// rounded up to a quarter of a second, so a rate never counts too short.
class CommitmentLedger
{
public:
  static constexpr Duration kBucketInterval = std::chrono::milliseconds(250);
  /// The longest time from now to an expiry.
  static constexpr Duration kMaxLifetime = std::chrono::seconds(60);

  /// Adds a rate that counts for `aLifetime` (at most `kMaxLifetime`).
  void Add(double aRate, Duration aLifetime, TimePoint aNow);

  /// Sum of what has not expired. Times must not go back; an earlier one
  /// counts as the latest.
  double Total(TimePoint aNow);

private:
  static constexpr size_t kBuckets = 256;

  std::array<double, kBuckets> mRates{};
  int64_t mCurrentBucket = 0; ///< Bucket of the present time.
  double mTotal = 0;
};

} // namespace pollenway
