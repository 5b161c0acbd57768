#pragma once

#include "HomeMember.h"

#include <map>
#include <vector>

namespace pollenway {

/// A zone's numbered member list, with the lists of earlier views. The earlier
/// lists are needed to collect records if the view changes again before its
/// homes have completed their collection.
struct HomeView
{
  /// Incremented by each change; 0 if no view has been written yet.
  uint64_t mNumber = 0;
  std::vector<HomeMember> mMembers;
  /// Members of earlier views by number, bounded by `kMaxEarlierHomeViews`.
  std::map<uint64_t, std::vector<HomeMember>> mEarlier;

  /// Returns the next view, with this one added to the earlier views.
  HomeView Next(std::vector<HomeMember> aMembers) const;

  /// Returns the members of view `aNumber`, which is this or an earlier view;
  /// null if unknown.
  const std::vector<HomeMember>* MembersOf(uint64_t aNumber) const;
};

/// Number of earlier views that are kept. Collection fails only if the view
/// changes this many times without a completed collection in between; an
/// operator must then move the partition.
constexpr size_t kMaxEarlierHomeViews = 32;

} // namespace pollenway
