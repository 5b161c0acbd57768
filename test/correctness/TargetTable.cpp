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

// Guards against new requests to a target that has reported that it is leaving.
TEST_CASE("a draining or removed target is removed at once")
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

// Guards against the removal of all targets because their records expired while
// the store was unavailable, and against an expired one that is never removed.
TEST_CASE("an expired record is kept until its time limit")
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

// Guards against a second removal that extends the time for which a target is
// kept.
TEST_CASE("a second removal does not extend the time limit")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 1);
  table.Remove(TargetName("t0"), At(10), At(12));
  table.Remove(TargetName("t0"), At(11.5), At(13));
  table.Expire(At(12));
  CHECK(Count(table) == 0);
}

// Guards against a new incarnation of a target that inherits the state of the
// earlier one, such as its failures.
TEST_CASE("another incarnation under the same name is another target")
{
  TargetTable table(RegionOfZones());
  PutTargets(table, "t", "n1", 1);
  const auto before = table.OfService(ServiceName("lookup")).front();
  before->OnFailure(At(1));
  auto newIncarnation = MakeTarget("t0", "n1");
  newIncarnation.mStartedAtMs = 2;
  newIncarnation.mColdRemaining = std::chrono::seconds(3);
  table.Put(newIncarnation, At(2), std::chrono::seconds(3));
  REQUIRE(Count(table) == 1);
  const auto after = table.OfService(ServiceName("lookup")).front();
  CHECK(after != before);
  CHECK_FALSE(after->IsPaused(At(1.1)));
  CHECK(after->IsCold(At(4.9)));
  CHECK_FALSE(after->IsCold(At(5)));
}
