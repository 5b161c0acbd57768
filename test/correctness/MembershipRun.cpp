#include "../MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

void ExpectNoViolations(MembershipSimulation::Options aOptions, uint64_t aSteps)
{
  CAPTURE(aOptions.mSeed);
  MembershipSimulation run(aOptions);
  run.Run(aSteps);
  run.ExpectRecovery();
  for (const auto& it : run.mViolations) {
    FAIL_CHECK(it);
  }
  CHECK(run.mCounts.mUses > aSteps);
  MESSAGE("seed " << aOptions.mSeed << ": " << run.mCounts.mMessages
                  << " messages, " << run.mCounts.mViews << " views, "
                  << run.mCounts.mEnded << " runs ended, "
                  << run.mCounts.mFaults << " faults, "
                  << run.mCounts.mLostWrites << " lost or late writes");
}

} // namespace

// Guards against two owners of a resource, views or generations that go back,
// and withdrawn keys that stay in use, under loss, delay, repetition, cuts,
// pauses, restarts, store outages and lost answers; then against a zone that
// does not recover.
TEST_CASE("a zone of 3 keeps its promises under faults")
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ExpectNoViolations({ .mSeed = seed }, StepsFromEnvironment(10'000));
  }
}

TEST_CASE("6 zones of 3 keep their promises under faults")
{
  ExpectNoViolations({ .mSeed = 11, .mZones = 6, .mFaultProbability = 0.05 },
                     StepsFromEnvironment(10'000));
}

// Guards against sampled heartbeats breaking what the full mesh keeps.
TEST_CASE("a zone of 14 with sampled heartbeats keeps its promises")
{
  ExpectNoViolations({ .mSeed = 21, .mPerZone = 14, .mFaultProbability = 0.04 },
                     StepsFromEnvironment(10'000));
}

// Guards against a run that would not notice a broken rule: each rule that is
// left out must lead to two owners of one resource.
TEST_CASE("the run detects broken rules")
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
      MembershipSimulation run(options);
      run.Run(10'000);
      if (!run.mViolations.empty()) {
        found = run.mViolations[0];
        MESSAGE("without \"" << std::string(it.mRule) << "\", seed "
                             << options.mSeed << ": " << found);
      }
    }
    CHECK(found.find("use resource") != std::string::npos);
  }
}
