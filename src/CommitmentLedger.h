#pragma once

#include "Time.h"

#include <array>
#include <cstdint>

namespace pollenway {

/// Sum of rates (requests/s), each of which counts until it expires. Expiries
/// are rounded up to the next 250 ms, so no rate expires too early.
class CommitmentLedger
{
public:
  static constexpr Duration kBucketInterval = std::chrono::milliseconds(250);
  /// The longest lifetime of a rate.
  static constexpr Duration kMaxLifetime = std::chrono::seconds(60);

  /// Adds a rate that counts for `aLifetime` (at most `kMaxLifetime`).
  void Add(double aRate, Duration aLifetime, TimePoint aNow);

  /// Returns the sum of the unexpired rates. A time earlier than one seen
  /// before is treated as the latest one.
  double Total(TimePoint aNow);

private:
  static constexpr size_t kBuckets = 256;

  std::array<double, kBuckets> mRates{};
  int64_t mCurrentBucket = 0; ///< Bucket of the latest time seen.
  double mTotal = 0;
};

} // namespace pollenway
