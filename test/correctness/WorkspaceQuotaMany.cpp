#include "../QuotaFleet.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a small workspace above its rate that is admitted below its
// rate because each of many instances receives one of its requests per second
// or less.
TEST_CASE("a small workspace above its rate gets its rate at 120 instances")
{
  for (const double rate : { 40.0, 416.0 }) {
    CAPTURE(rate);
    QuotaFleet fleet(120, rate, rate, 7);
    fleet.Run(20, rate / 1.6);
    fleet.Run(10, rate * 7.5);
    fleet.ResetCounts();
    fleet.Run(10, rate * 7.5);
    CHECK(fleet.Admitted() >= rate * 10 * 0.85);
  }
}
