#include "../../apps/pollenway-load/IdealBucket.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a wrong entitlement, which would classify refusals incorrectly
// as wrongful or justified.
TEST_CASE("the ideal bucket admits its burst at once and its rate after")
{
  const std::pair<double, double> limits[] = { { 5, 5 },
                                               { 50, 20 },
                                               { 400, 100 } };
  for (const auto& [rate, burst] : limits) {
    CAPTURE(rate);
    IdealBucket bucket(rate, burst);
    TimePoint now{};
    unsigned admitted = 0;
    for (int i = 0; i < 1000; ++i) {
      admitted += bucket.Admit(now) ? 1 : 0;
    }
    CHECK(admitted == burst);
    // Ten seconds at ten times the rate; a token becomes available every ten
    // steps.
    admitted = 0;
    for (int i = 0; i < int(100 * rate); ++i) {
      now += FromSeconds(0.1 / rate);
      admitted += bucket.Admit(now) ? 1 : 0;
    }
    CHECK(admitted >= 10 * rate - 1);
    CHECK(admitted <= 10 * rate);
    // A long pause doesn't fill the bucket beyond the burst.
    now += std::chrono::hours(1);
    admitted = 0;
    for (int i = 0; i < 1000; ++i) {
      admitted += bucket.Admit(now) ? 1 : 0;
    }
    CHECK(admitted == burst);
  }
}
