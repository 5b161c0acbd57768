#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace pollenway {

/// Seeded source of all chance in the core: equal seeds give equal decisions.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Next() { return mEngine(); }

  /// A number in [0, aLimit); 0 if `aLimit` is 0.
  uint64_t Below(uint64_t aLimit) { return aLimit ? mEngine() % aLimit : 0; }

  /// A real number in [0, 1).
  double Uniform() { return double(mEngine() >> 11) * 0x1.0p-53; }

  bool Chance(double aProbability) { return Uniform() < aProbability; }

  /// Exponentially distributed with mean `aMean`.
  double Exponential(double aMean) { return -aMean * std::log1p(-Uniform()); }

private:
  std::mt19937_64 mEngine;
};

} // namespace pollenway
