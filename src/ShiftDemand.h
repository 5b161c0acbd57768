#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pollenway {

/// Demand (requests/s) of a shift's callers by position on the shift's scale.
/// With it, the cap of a step applies to load and not only to the number of
/// client blocks.
class ShiftDemand
{
public:
  static constexpr size_t kBuckets = 1024;

  /// Adds the rate of a caller at `aPosition` in [0, 1).
  void Add(double aPosition, double aRate)
  {
    mRates[size_t(aPosition * double(kBuckets)) % kBuckets] += aRate;
    mTotal += aRate;
  }

  double Total() const { return mTotal; }
  /// Returns the rate of the positions [n, n + 1) / `kBuckets`.
  double At(size_t aBucket) const { return mRates[aBucket]; }

private:
  std::array<double, kBuckets> mRates{};
  double mTotal = 0;
};

} // namespace pollenway
