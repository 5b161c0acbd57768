#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace pollenway {

/// Seeded random number generator for all random decisions of the core. Equal
/// seeds give equal decisions.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Next() { return mEngine(); }

  /// Returns an integer in [0, aLimit), or 0 if `aLimit` is 0.
  uint64_t Below(uint64_t aLimit) { return aLimit ? mEngine() % aLimit : 0; }

  /// Returns a real number in [0, 1).
  double Uniform() { return double(mEngine() >> 11) * 0x1.0p-53; }

  bool Chance(double aProbability) { return Uniform() < aProbability; }

  /// Returns an exponentially distributed number with mean `aMean`.
  double Exponential(double aMean) { return -aMean * std::log1p(-Uniform()); }

private:
  std::mt19937_64 mEngine;
};

} // namespace pollenway
