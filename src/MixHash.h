#pragma once

#include <cstdint>

namespace pollenway {

/// Returns a 64-bit hash of a 64-bit value (the finalizer of splitmix64). Equal
/// on all instances; a bijection, so it adds no collisions.
constexpr uint64_t MixHash(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15;
  aValue = (aValue ^ aValue >> 30) * 0xbf58476d1ce4e5b9;
  aValue = (aValue ^ aValue >> 27) * 0x94d049bb133111eb;
  return aValue ^ aValue >> 31;
}

/// Returns the hash of an ordered pair.
constexpr uint64_t MixHash(uint64_t aFirst, uint64_t aSecond)
{
  return MixHash(MixHash(aFirst) ^ aSecond);
}

/// Maps a hash to a real number in [0, 1).
constexpr double HashToUnitInterval(uint64_t aHash)
{
  return double(aHash >> 11) * 0x1.0p-53;
}

} // namespace pollenway
