#include "../MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a crashed member that remains an owner, in particular in a
// zone whose members request leases from only some of the others, and against
// the removal of a member whose lease may still be valid.
TEST_CASE("a crashed member is evicted in time")
{
  for (const unsigned n : { 2u, 3u, 8u, 40u }) {
    CAPTURE(n);
    MembershipSimulation simulation(
      { .mSeed = 5, .mPerZone = n, .mDropProbability = 0 });
    simulation.RunWithoutFaults(1200);
    const double seconds = ToSeconds(simulation.EvictionTimeOf(n / 2));
    MESSAGE(n << " members: " << seconds << " s");
    CHECK(seconds > 4);
    CHECK(seconds < 10);
    CHECK(simulation.mViolations.empty());
  }
}
