#include "../MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

void ExpectNoViolations(MembershipSimulation::Options aOptions, uint64_t aSteps)
{
  CAPTURE(aOptions.mSeed);
  MembershipSimulation simulation(aOptions);
  simulation.Run(aSteps);
  simulation.ExpectRecovery();
  for (const auto& it : simulation.mViolations) {
    FAIL_CHECK(it);
  }
  CHECK(simulation.mCounts.mUses > aSteps);
  MESSAGE("seed " << aOptions.mSeed << ": " << simulation.mCounts.mMessages
                  << " messages, " << simulation.mCounts.mViews << " views, "
                  << simulation.mCounts.mEnded << " incarnations ended, "
                  << simulation.mCounts.mFaults << " faults, "
                  << simulation.mCounts.mLostWrites << " lost or late writes");
}

} // namespace

// Guards against two owners of a resource, decreasing view numbers or
// generations, and withdrawn keys that stay in use, under message loss, delay
// and repetition, cut links, pauses, restarts, store outages and lost answers;
// then against a zone that does not recover.
TEST_CASE("a zone of 3 keeps its invariants under faults")
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ExpectNoViolations({ .mSeed = seed }, StepsFromEnvironment(10'000));
  }
}

TEST_CASE("6 zones of 3 keep their invariants under faults")
{
  ExpectNoViolations({ .mSeed = 11, .mZones = 6, .mFaultProbability = 0.05 },
                     StepsFromEnvironment(10'000));
}

// Guards against violations of the invariants that occur with sampled
// heartbeats but not with a full mesh of heartbeats.
TEST_CASE("a zone of 14 with sampled heartbeats keeps its invariants")
{
  ExpectNoViolations({ .mSeed = 21, .mPerZone = 14, .mFaultProbability = 0.04 },
                     StepsFromEnvironment(10'000));
}

// Guards against a simulation that does not detect a broken rule: if any one of
// the rules is disabled, it must find two owners that use one resource.
TEST_CASE("the simulation detects broken rules")
{
  struct Row
  {
    const char* mRule;
    MembershipSimulation::Options mOptions;
  };
  const Row rows[] = {
    { "a grantor confirms only 6 s after its last answer",
      { .mConfirmDelay = Duration(0) } },
    { "a paused member checks its lease", { .mChecksLease = false } },
    { "a new owner waits until the view is settled",
      { .mWaitsUntilSettled = false } },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mRule);
    auto options = it.mOptions;
    std::string found;
    for (options.mSeed = 1; options.mSeed <= 60 && found.empty();
         ++options.mSeed) {
      MembershipSimulation simulation(options);
      simulation.Run(10'000);
      if (!simulation.mViolations.empty()) {
        found = simulation.mViolations[0];
        MESSAGE("without \"" << std::string(it.mRule) << "\", seed "
                             << options.mSeed << ": " << found);
      }
    }
    CHECK(found.find("use resource") != std::string::npos);
  }
}
