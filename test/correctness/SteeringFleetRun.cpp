#include "../FleetModel.h"

using namespace pollenway;
using namespace pollenway::fleet_model;

// Guards against instances that together commit more than the capacity of a
// zone, under lost heartbeats, restarts, region failures and load reports that
// are late, missing or wrong. Also guards against callers that are moved back
// and forth.
TEST_CASE("a fleet under random faults stays within capacity")
{
  const double demands[] = { 0.45, 0.75 };
  const size_t steps = NumberFromEnvironment("POLLENWAY_STEPS", 12'000) / 2;
  for (const double demand : demands) {
    CAPTURE(demand);
    Fleet fleet(NumberFromEnvironment("POLLENWAY_SEED", 7), demand);
    for (size_t i = 0; i < steps; ++i) {
      fleet.Step(); // Checks the capacity limits at each step.
    }
    const Tally& it = fleet.mTally;
    MESSAGE("demand=" << demand << " steps=" << steps << " answers="
                      << it.mAnswers << " refusals=" << it.mRefusals
                      << " changes=" << it.mChanges
                      << " most=" << it.mMaxChanges << " faults=" << it.mFaults
                      << " promised_peak=" << it.mCommittedPeak
                      << " load_peak=" << it.mLoadPeak
                      << " nearest_region_load_peak=" << it.mNearestPeak);
    // The start and the end of a fault may each move every caller once.
    CHECK(it.mChanges <= 2 * it.mFaults * kBlocks);
  }
}

// Guards against callers of a failed region that are refused although other
// regions have headroom, or that keep moving between regions after the failure.
TEST_CASE("a region's failure spills by headroom without oscillation")
{
  const double demands[] = { 0.4, 0.5, 0.6 };
  for (const double demand : demands) {
    CAPTURE(demand);
    Fleet fleet(11, demand);
    fleet.mHasFaults = false;
    const auto run = [&](size_t aSteps) {
      const Tally before = fleet.mTally;
      for (size_t i = 0; i < aSteps; ++i) {
        fleet.Step();
      }
      Tally out = fleet.mTally;
      out.mAnswers -= before.mAnswers;
      out.mRefusals -= before.mRefusals;
      out.mChanges -= before.mChanges;
      return out;
    };
    run(400);
    fleet.SetRegionUp(1, false);
    const Tally spill = run(200);
    const Tally settled = run(400);
    fleet.SetRegionUp(1, true);
    const Tally recovery = run(600);
    MESSAGE("demand=" << demand << " spill: changes=" << spill.mChanges
                      << " refusals=" << spill.mRefusals
                      << "; settled: changes=" << settled.mChanges
                      << " refusals=" << settled.mRefusals
                      << " answers=" << settled.mAnswers << "; back: changes="
                      << recovery.mChanges << " refusals=" << recovery.mRefusals
                      << " answers=" << recovery.mAnswers
                      << "; load_peak=" << recovery.mLoadPeak
                      << " nearest_region_load_peak=" << recovery.mNearestPeak);
    // Each event moves a caller at most once: the failure, the rotation of
    // refused callers (every 5 min, the only event while settled), and the
    // recovery with its rotation.
    CHECK(spill.mChanges <= kBlocks);
    CHECK(settled.mChanges <= kBlocks);
    CHECK(recovery.mChanges <= 2 * kBlocks);
  }
}
