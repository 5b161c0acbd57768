#pragma once

#include "HashOf.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace pollenway {

/// Returns the members in order of preference for a key, by highest random
/// weight: adding or removing a member does not change the order of the others.
/// `Id` is a `StrongId`. Equal on all instances for equal input.
template<typename Id>
std::vector<Id> RankByRendezvous(std::string_view aKey,
                                 const std::vector<Id>& aMembers)
{
  std::vector<std::pair<uint64_t, const Id*>> ranked;
  ranked.reserve(aMembers.size());
  for (const auto& it : aMembers) {
    ranked.emplace_back(HashOf({ aKey, it.Text() }), &it);
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                         : *aLeft.second < *aRight.second;
    });
  std::vector<Id> out;
  out.reserve(ranked.size());
  for (const auto& it : ranked) {
    out.push_back(*it.second);
  }
  return out;
}

/// Returns the first member in that order; null if there are no members.
template<typename Id>
const Id* FirstByRendezvous(std::string_view aKey,
                            const std::vector<Id>& aMembers)
{
  const Id* best = nullptr;
  uint64_t bestHash = 0;
  for (const auto& it : aMembers) {
    const uint64_t hash = HashOf({ aKey, it.Text() });
    if (!best || hash > bestHash || (hash == bestHash && it < *best)) {
      best = &it;
      bestHash = hash;
    }
  }
  return best;
}

} // namespace pollenway
