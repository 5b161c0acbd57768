#include "../RegionShiftRows.h"

using namespace pollenway;
using namespace pollenway::region_fleet;

// Guards against a region's traffic that changes its region because the targets
// of the home region turn away what they can't run, while the requests that are
// placed elsewhere run.
TEST_CASE("at most 0.15 change their region while home targets reject")
{
  const Row rows[] = {
    { "burst of 2x everywhere in waves", 12, BurstInWave(2) },
    { "burst of 4x everywhere in waves", 12, BurstInWave(4) },
    { "burst of 4x of one region", 12, Burst(4, "wlg") },
    { "rejections in turns of a second", 12, {}, OscillateRejections },
  };
  CheckRegionShift(rows);
}
