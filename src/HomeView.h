#pragma once

#include "HomeMember.h"

#include <map>
#include <vector>

namespace pollenway {

/// A zone's numbered member list with those before it. The members of earlier
/// views are needed to collect records if the view changed again before its
/// homes had completed their collection.
struct HomeView
{
  /// Grows by one with each change; 0 if no view has been written yet.
  uint64_t mNumber = 0;
  std::vector<HomeMember> mMembers;
  /// Members of earlier views by number, bounded by `kMaxEarlierHomeViews`.
  std::map<uint64_t, std::vector<HomeMember>> mEarlier;

  /// The next view, with this one added to the earlier ones.
  HomeView Next(std::vector<HomeMember> aMembers) const;

  /// The members of view `aNumber`, this or an earlier one; null if unknown.
  const std::vector<HomeMember>* MembersOf(uint64_t aNumber) const;
};

/// Earlier views kept. Collection fails, until an operator moves the partition,
/// only after this many changes without a completed one in between.
constexpr size_t kMaxEarlierHomeViews = 32;

} // namespace pollenway
