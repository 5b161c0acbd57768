#include "../MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a crashed member that stays an owner, in particular in a zone
// whose members ask only some of the others for leases, and against one that
// is removed while its lease could still run.
TEST_CASE("a crashed member is evicted in time")
{
  for (const unsigned n : { 2u, 3u, 8u, 40u }) {
    CAPTURE(n);
    MembershipSimulation run(
      { .mSeed = 5, .mPerZone = n, .mDropProbability = 0 });
    run.RunWithoutFaults(1200);
    const double seconds = ToSeconds(run.EvictionTimeOf(n / 2));
    MESSAGE(n << " members: " << seconds << " s");
    CHECK(seconds > 4);
    CHECK(seconds < 10);
    CHECK(run.mViolations.empty());
  }
}
