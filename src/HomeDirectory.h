#pragma once

#include "HomeMap.h"
#include "HomeView.h"
#include "RecordKey.h"

#include <map>
#include <optional>

namespace pollenway {

/// The homes of one partition in one view.
struct HomePair
{
  uint64_t mView = 0;
  HomeMember mPrimary;
  /// None in a view of one member.
  std::optional<HomeMember> mBackup;
};

/// The first two members by rendezvous of the partition; nothing for an empty
/// list.
std::optional<HomePair> HomesOf(unsigned aPartition,
                                uint64_t aView,
                                const std::vector<HomeMember>& aMembers);

/// Which home is responsible for which key, as far as this instance knows.
class HomeDirectory
{
public:
  /// Takes a map of a higher version; false if it is not newer.
  bool SetMap(HomeMap aMap);
  /// Takes a view of a higher number; false if it is not newer.
  bool SetView(const ZoneName& aZone, HomeView aView);

  const HomeMap& Map() const { return mMap; }
  /// Null if no view of the zone is known.
  const HomeView* ViewOf(const ZoneName& aZone) const;

  /// Null if there is no map.
  const PartitionHome* Home(unsigned aPartition) const;

  /// Homes of a key or partition; nothing if map or view are missing.
  std::optional<HomePair> Find(const RecordKey& aKey) const;
  std::optional<HomePair> Find(unsigned aPartition) const;

private:
  HomeMap mMap;
  std::map<ZoneName, HomeView> mViews;
};

} // namespace pollenway
