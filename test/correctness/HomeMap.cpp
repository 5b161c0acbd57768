#include "HomeDirectory.h"

#include <doctest/doctest.h>

#include <map>

using namespace pollenway;

namespace {

const ZoneName kA("a");
const ZoneName kB("b");
const ZoneName kC("c");

} // namespace

// Guards against an uneven map and against a move that changes the partitions
// of other zones.
TEST_CASE("partitions are spread evenly and only a lost zone's move")
{
  const auto map = CreateHomeMap({ { kC, 9 }, { kA, 7 }, { kB, 8 } });
  std::map<ZoneName, int> count;
  for (const auto& it : map.mPartitions) {
    ++count[it.mZone];
  }
  CHECK(count[kA] == 86);
  CHECK(count[kB] == 85);
  CHECK(map.mPartitions[0] ==
        PartitionHome{ .mZone = kA, .mRecordsSince = 7, .mMoves = 0 });
  const auto moved = MoveHomes(map, kA, { { kB, 20 }, { kC, 21 } });
  CHECK(moved.mVersion == 2);
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    const auto& old = map.mPartitions[i];
    const auto& now = moved.mPartitions[i];
    if (old.mZone == kA) {
      CHECK(now.mZone != kA);
      CHECK(now.mRecordsSince == (now.mZone == kB ? 20 : 21));
      CHECK(now.mMoves == 1);
    } else {
      CHECK(now == old);
    }
  }
  CHECK(HomeMapFromJson(HomeMapToJson(moved)).value() == moved);
}

// Guards against stale views or maps that arrive late and replace newer ones,
// and against instances that compute different homes from the same view.
TEST_CASE("the directory keeps the newest map and view")
{
  const HomeMember one{ .mName = InstanceName("one"), .mIncarnation = 1 };
  const HomeMember two{ .mName = InstanceName("two"), .mIncarnation = 2 };
  HomeDirectory directory;
  CHECK_FALSE(directory.Find(0u));
  const auto map = CreateHomeMap({ { kA, 0 } });
  CHECK(directory.SetMap(map));
  CHECK_FALSE(directory.SetMap(map));
  CHECK_FALSE(directory.Find(0u));
  const auto first = HomeView{}.Next({ one });
  const auto second = first.Next({ two, one });
  CHECK(directory.SetView(kA, second));
  CHECK_FALSE(directory.SetView(kA, first));
  CHECK(*directory.ViewOf(kA)->MembersOf(1) == std::vector{ one });
  const auto homes = directory.Find(3u);
  REQUIRE(homes);
  REQUIRE(homes->mBackup);
  CHECK(homes->mPrimary != *homes->mBackup);
  const auto same = HomesOf(3, 2, { one, two });
  CHECK(same->mPrimary == homes->mPrimary);
  CHECK_FALSE(HomesOf(3, 1, { one })->mBackup);
}
