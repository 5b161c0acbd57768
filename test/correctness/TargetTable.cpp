#include "TargetTable.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

size_t Count(const TargetTable& aTable)
{
  return aTable.OfService(ServiceName("lookup")).size();
}

} // namespace

// Guards against new requests to a target that has said that it is leaving.
TEST_CASE("a draining or removed target is taken out at once")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 2);
  auto leaving = MakeTarget("t0", "n1");
  leaving.mDraining = true;
  table.Put(leaving, At(1), {});
  CHECK(Count(table) == 1);
  table.Remove(TargetName("t1"), At(1), {});
  CHECK(Count(table) == 0);
}

// Guards against all targets being dropped because their records lapsed while
// the store was away, and against a lapsed one being kept for good.
TEST_CASE("a lapsed record is kept until the end of its time")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 2);
  table.RetainOnly({}, At(10), At(12));
  CHECK(Count(table) == 2);
  table.Put(MakeTarget("t1", "n1"), At(11), {});
  table.Expire(At(11.9));
  CHECK(Count(table) == 2);
  table.Expire(At(12));
  REQUIRE(Count(table) == 1);
  CHECK(table.Contains(TargetName("t1")));
}

// Guards against a second lapse notice that prolongs the time of being kept.
TEST_CASE("the time of being kept is not prolonged")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 1);
  table.Remove(TargetName("t0"), At(10), At(12));
  table.Remove(TargetName("t0"), At(11.5), At(13));
  table.Expire(At(12));
  CHECK(Count(table) == 0);
}

// Guards against a new run of a target that inherits what was known of the
// earlier one, such as its failures.
TEST_CASE("another start under the same name is another target")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 1);
  const auto before = table.OfService(ServiceName("lookup")).front();
  before->OnFailure(At(1));
  auto again = MakeTarget("t0", "n1");
  again.mStartedAtMs = 2;
  again.mColdRemaining = std::chrono::seconds(3);
  table.Put(again, At(2), std::chrono::seconds(3));
  REQUIRE(Count(table) == 1);
  const auto after = table.OfService(ServiceName("lookup")).front();
  CHECK(after != before);
  CHECK_FALSE(after->IsPaused(At(1.1)));
  CHECK(after->IsCold(At(4.9)));
  CHECK_FALSE(after->IsCold(At(5)));
}
