#include "../HomeModel.h"

#include <cstdlib>

using namespace pollenway;

// Guards against a key that runs twice and against requests that are reported
// as not run but have run, under crashes, pauses, view changes, isolated and
// lost zones, moves, and lost, late and repeated messages. POLLENWAY_STEPS sets
// the number of steps, POLLENWAY_SEED the seed.
TEST_CASE("no key runs twice over a long randomised run")
{
  const char* steps = std::getenv("POLLENWAY_STEPS");
  const char* seed = std::getenv("POLLENWAY_SEED");
  const long n = steps ? std::atol(steps) : 12000;
  HomeModel model(seed ? std::strtoull(seed, nullptr, 10) : 1);
  for (long i = 0; i < n; ++i) {
    model.Step(true);
  }
  const auto& it = model.Result();
  MESSAGE("requests=" << it.mRequests << " runs=" << it.mRuns
                      << " repeats_answered=" << it.mRepeatsAnswered
                      << " refused_not_run=" << it.mRefusedNotRun
                      << " refused_unknown=" << it.mRefusedUnknown
                      << " reruns_after_retention="
                      << it.mRepeatedAfterRetention
                      << " crashes=" << it.mCrashes << " pauses=" << it.mPauses
                      << " views=" << it.mViews << " cuts=" << it.mIsolations
                      << " moves=" << it.mMoves);
  for (const auto& [code, count] : it.mCodes) {
    MESSAGE("refused code=" << Name(code) << " count=" << count);
  }
  // Checks that the run covered the cases above.
  CHECK(it.mRuns * 10 > it.mRequests);
  CHECK(it.mRepeatsAnswered > 100);
  CHECK(it.mRepeatedAfterRetention > 0);
  CHECK(it.mMoves > 0);

  // All partitions are served again once the faults have ended.
  model.EndFaults();
  for (int i = 0; i < 10000; ++i) {
    model.Step(false);
  }
  CHECK(model.CountServed(500) == 500);
}
