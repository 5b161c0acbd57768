#include "HomeDirectory.h"

#include "HashOf.h"

#include <algorithm>

namespace pollenway {

std::optional<HomePair> HomesOf(unsigned aPartition,
                                uint64_t aView,
                                const std::vector<HomeMember>& aMembers)
{
  if (aMembers.empty()) {
    return std::nullopt;
  }
  // Hashes the name without the incarnation, so that a restart moves no home.
  const std::string key = "home/" + std::to_string(aPartition);
  const auto rank = [&](const HomeMember& aMember) {
    return HashOf({ key, aMember.mName.Text() });
  };
  const auto before = [&](const HomeMember& aLeft, const HomeMember& aRight) {
    const auto left = rank(aLeft);
    const auto right = rank(aRight);
    return left != right ? left > right : aLeft < aRight;
  };
  std::vector<HomeMember> members = aMembers;
  const size_t n = std::min<size_t>(2, members.size());
  std::partial_sort(
    members.begin(), members.begin() + ptrdiff_t(n), members.end(), before);
  HomePair out{ .mView = aView, .mPrimary = members[0], .mBackup = {} };
  if (n == 2) {
    out.mBackup = members[1];
  }
  return out;
}

bool HomeDirectory::SetMap(HomeMap aMap)
{
  if (aMap.mVersion <= mMap.mVersion) {
    return false;
  }
  mMap = std::move(aMap);
  return true;
}

bool HomeDirectory::SetView(const ZoneName& aZone, HomeView aView)
{
  auto& view = mViews[aZone];
  if (aView.mNumber <= view.mNumber) {
    return false;
  }
  view = std::move(aView);
  return true;
}

const HomeView* HomeDirectory::ViewOf(const ZoneName& aZone) const
{
  auto it = mViews.find(aZone);
  return it == mViews.end() || it->second.mNumber == 0 ? nullptr : &it->second;
}

const PartitionHome* HomeDirectory::Home(unsigned aPartition) const
{
  return aPartition < mMap.mPartitions.size() ? &mMap.mPartitions[aPartition]
                                              : nullptr;
}

std::optional<HomePair> HomeDirectory::Find(unsigned aPartition) const
{
  const auto* home = Home(aPartition);
  const auto* view = home ? ViewOf(home->mZone) : nullptr;
  return view ? HomesOf(aPartition, view->mNumber, view->mMembers)
              : std::nullopt;
}

std::optional<HomePair> HomeDirectory::Find(const RecordKey& aKey) const
{
  return Find(aKey.Partition());
}

} // namespace pollenway
