#include "../FleetModel.h"

using namespace pollenway;
using namespace pollenway::fleet_model;

// Guards against look-ups that are refused although capacity is free. The goal
// is at most 0.1 % wrongful refusals while the whole fleet is connected.
TEST_CASE("a connected fleet with room refuses no look-ups")
{
  const double demands[] = { 0.4, 0.5, 0.6 };
  for (const double demand : demands) {
    CAPTURE(demand);
    Fleet fleet(11, demand);
    fleet.mHasFaults = false;
    for (size_t i = 0; i < 400; ++i) {
      fleet.Step();
    }
    const Tally before = fleet.mTally;
    for (size_t i = 0; i < 400; ++i) {
      fleet.Step();
    }
    const double refusals = double(fleet.mTally.mRefusals - before.mRefusals);
    const double answers = double(fleet.mTally.mAnswers - before.mAnswers);
    CHECK(refusals <= 0.001 * (answers + refusals));
  }
}
