#include "RegionShares.h"

#include <cmath>

namespace pollenway {

namespace {

double ShareOf(const RegionShares& aShares, const RegionName& aRegion)
{
  const auto it = aShares.find(aRegion);
  return it == aShares.end() ? 0 : it->second;
}

} // namespace

double MovedShare(const RegionShares& aBefore, const RegionShares& aAfter)
{
  double sum = 0;
  for (const auto& [region, share] : aBefore) {
    sum += std::abs(share - ShareOf(aAfter, region));
  }
  for (const auto& [region, share] : aAfter) {
    if (!aBefore.contains(region)) {
      sum += share;
    }
  }
  return sum / 2;
}

RegionShares MoveTowards(const RegionShares& aFrom,
                         const RegionShares& aTo,
                         double aMaxMoved)
{
  const double moved = MovedShare(aFrom, aTo);
  if (moved <= aMaxMoved) {
    return aTo;
  }
  const double weight = aMaxMoved / moved;
  RegionShares out;
  for (const auto& [region, share] : aFrom) {
    out[region] += (1 - weight) * share;
  }
  for (const auto& [region, share] : aTo) {
    out[region] += weight * share;
  }
  return out;
}

} // namespace pollenway
