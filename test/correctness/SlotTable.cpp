#include "SlotTable.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const TargetName kTarget("ledger-1");
const InstanceName kOld("a");
const InstanceName kNew("b");

TimePoint At(Duration aTime)
{
  return TimePoint(aTime);
}

SlotTable Owner(unsigned aSlots, unsigned aConnections = 650)
{
  SlotTable table;
  table.SetTarget(
    kTarget,
    { .mSlots = aSlots, .mConnections = aConnections, .mTimeout = 10s });
  return table;
}

} // namespace

// Guards against more requests at a target than it has slots.
TEST_CASE("slots are limited and a ticket counts once")
{
  auto table = Owner(2);
  CHECK(table.State(kTarget, At(0s)) == SlotState::AwaitingHandover);
  CHECK_FALSE(table.Acquire(kTarget, At(0s)));
  table.TakeOverUnowned(kTarget);
  auto first = table.Acquire(kTarget, At(0s));
  REQUIRE(first);
  REQUIRE(table.Acquire(kTarget, At(0s)));
  CHECK_FALSE(table.Acquire(kTarget, At(0s)));
  CHECK(table.Release(*first));
  CHECK_FALSE(table.Release(*first));
  CHECK(table.Acquire(kTarget, At(0s)));
  CHECK(table.State(kTarget, At(0s)) == SlotState::Full);
}

// Guards against a new owner that does not count the running requests of the
// old one, and against counts that a late report or a repeated handover raises
// again.
TEST_CASE("a former owner's requests count until it reports their end")
{
  auto old = Owner(3);
  old.TakeOverUnowned(kTarget);
  auto running = old.Acquire(kTarget, At(0s));
  REQUIRE(old.Acquire(kTarget, At(0s)));
  const auto handover = old.ReleaseOwnership(kTarget, kOld, At(1s));
  CHECK_FALSE(old.Acquire(kTarget, At(1s)));
  CHECK(old.InFlight(kTarget) == 2);

  auto next = Owner(3);
  next.TakeOver(handover, kNew, At(1s));
  CHECK(next.OccupiedSlots(kTarget, At(1h)) == 2);
  CHECK(next.Acquire(kTarget, At(1s)));
  CHECK_FALSE(next.Acquire(kTarget, At(1s)));
  old.Release(*running);
  next.OnFormerOwnerReport(kTarget, kOld, old.InFlight(kTarget), 0);
  next.OnFormerOwnerReport(kTarget, kOld, 2, 0);
  next.TakeOver(handover, kNew, At(2s));
  CHECK(next.OccupiedSlots(kTarget, At(2s)) == 2);
  next.OnFormerOwnerDied(kOld, At(2s));
  CHECK(next.OccupiedSlots(kTarget, At(11s)) == 2);
  CHECK(next.OccupiedSlots(kTarget, At(12s)) == 1);
}

// Guards against a count whose end is never reported when a target returns to
// an instance that owned it before.
TEST_CASE("own requests of an earlier ownership count once")
{
  auto self = Owner(3);
  self.TakeOverUnowned(kTarget);
  auto running = self.Acquire(kTarget, At(0s));
  auto other = Owner(3);
  other.TakeOver(self.ReleaseOwnership(kTarget, kOld, At(1s)), kNew, At(1s));
  self.SetTarget(kTarget, { .mSlots = 3 });
  self.TakeOver(other.ReleaseOwnership(kTarget, kNew, At(2s)), kOld, At(2s));
  CHECK(self.OccupiedSlots(kTarget, At(2s)) == 1);
  self.Release(*running);
  CHECK(self.OccupiedSlots(kTarget, At(2s)) == 0);
}

// Guards against dispatch while unknown requests of an evicted owner may still
// run, and against freeing slots by a single or a stale load report.
TEST_CASE("after an eviction slots free by two reports or by the timeout")
{
  auto table = Owner(4);
  table.TakeOverFromEvicted(kTarget, At(10s));
  CHECK(table.State(kTarget, At(10s)) == SlotState::Full);
  table.OnLoadReport(kTarget, 0, At(9s), At(11s));
  table.OnLoadReport(kTarget, 0, At(11s), At(11s));
  CHECK(table.OccupiedSlots(kTarget, At(11s)) == 4);
  table.OnLoadReport(kTarget, 1, At(12s), At(12s));
  CHECK(table.OccupiedSlots(kTarget, At(12s)) == 1);
  REQUIRE(table.Acquire(kTarget, At(12s)));
  table.OnLoadReport(kTarget, 2, At(13s), At(13s));
  CHECK(table.OccupiedSlots(kTarget, At(13s)) == 2);
  CHECK(table.NextExpiry() == At(20s));
  CHECK(table.OccupiedSlots(kTarget, At(20s)) == 1);
}

// Guards against new requests at a draining target and against connections
// above the limit while a former owner's are still open.
TEST_CASE("a draining target gets no requests and connections are counted")
{
  auto table = Owner(2, 3);
  table.TakeOver(
    { .mTarget = kTarget, .mUses = { { .mOwner = kOld, .mConnections = 2 } } },
    kNew,
    At(0s));
  CHECK(table.OpenConnection(kTarget, At(0s)));
  CHECK_FALSE(table.OpenConnection(kTarget, At(0s)));
  table.OnFormerOwnerReport(kTarget, kOld, 0, 0);
  CHECK(table.OpenConnection(kTarget, At(0s)));
  CHECK_FALSE(table.OpenConnection(kTarget, At(0s)));
  table.SetReportedDraining(kTarget, true);
  CHECK(table.State(kTarget, At(0s)) == SlotState::Draining);
  table.SetReportedDraining(kTarget, false);
  table.SetTarget(kTarget, { .mState = Lifecycle::Retired });
  CHECK_FALSE(table.Acquire(kTarget, At(0s)));
}
