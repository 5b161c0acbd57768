#include "../RegionShiftRows.h"

using namespace pollenway;
using namespace pollenway::region_fleet;

// Guards against much of a region's traffic that changes the region in which it
// runs from one moment to the next although no target, link or instance has
// failed: callers lose warm targets and pay round trips between regions.
TEST_CASE("at most 0.15 of a region's requests change their region in 2 s")
{
  const Row rows[] = {
    { "steady demand", 12, {} },
    { "first demand after the start", 2, {} },
    { "first demand, late digests", 2, LateDigests() },
    { "burst of 2x everywhere", 12, Burst(2, "") },
    { "burst of 4x everywhere", 12, Burst(4, "") },
    { "waves without a burst", 12, BurstInWave(1) },
    { "burst of 2x of one region", 12, Burst(2, "wlg") },
    { "burst of 2x of one region, late digests", 12, Burst(2, "wlg", 3) },
    { "one target each of two other regions leaves",
      12,
      {},
      ChangeTargets(&Fleet::RemoveTarget, { 0, 2 }) },
    { "one of the region's two targets leaves",
      12,
      {},
      ChangeTargets(&Fleet::RemoveTarget, { 1 }) },
    { "the region's targets are doubled",
      12,
      {},
      ChangeTargets(&Fleet::AddTarget, { 1, 4 }) },
    { "one of the region's six instances starts again", 12, {}, Restart(1) },
    { "three of the region's six instances start again", 12, {}, Restart(3) },
  };
  CheckRegionShift(rows);
}
