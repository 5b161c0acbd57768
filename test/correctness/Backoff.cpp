#include "Backoff.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against delays that exceed their bounds, don't grow, or aren't
// reproducible with the same seed.
TEST_CASE("delays double up to the limit, with jitter from the seed")
{
  Backoff::Options options;
  options.mInitialDelay = std::chrono::milliseconds(100);
  options.mMaxDelay = std::chrono::milliseconds(1000);
  Backoff backoff(options, 7);
  Backoff same(options, 7);
  const int steps[] = { 100, 200, 400, 800, 1000, 1000 };
  for (int step : steps) {
    const Duration pause = backoff.Next();
    CHECK(pause >= std::chrono::milliseconds(step) / 2);
    CHECK(pause <= std::chrono::milliseconds(step));
    CHECK(pause == same.Next());
  }
  backoff.Reset();
  CHECK(backoff.Next() <= std::chrono::milliseconds(100));
}
