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
  /// Not set in a view with one member.
  std::optional<HomeMember> mBackup;
};

/// Returns the two members that rank highest by rendezvous hashing for the
/// partition; nothing if the list is empty.
std::optional<HomePair> HomesOf(unsigned aPartition,
                                uint64_t aView,
                                const std::vector<HomeMember>& aMembers);

/// Maps keys to their homes, by the newest home map and zone views that this
/// instance has received.
class HomeDirectory
{
public:
  /// Replaces the map by one of a higher version. Returns false if `aMap` is
  /// not newer.
  bool SetMap(HomeMap aMap);
  /// Replaces a zone's view by one of a higher number. Returns false if `aView`
  /// is not newer.
  bool SetView(const ZoneName& aZone, HomeView aView);

  const HomeMap& Map() const { return mMap; }
  /// Returns null if no view of the zone is known.
  const HomeView* ViewOf(const ZoneName& aZone) const;

  /// Returns null if there is no map.
  const PartitionHome* Home(unsigned aPartition) const;

  /// Returns the homes of a key or partition; nothing if the map or the zone's
  /// view is unknown.
  std::optional<HomePair> Find(const RecordKey& aKey) const;
  std::optional<HomePair> Find(unsigned aPartition) const;

private:
  HomeMap mMap;
  std::map<ZoneName, HomeView> mViews;
};

} // namespace pollenway
