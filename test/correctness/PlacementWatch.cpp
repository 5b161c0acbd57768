#include "PlacementWatch.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

const ServiceName kService("lookup");

PlacementShares Shares(double aNorth)
{
  PlacementShares out;
  out.mRegionShares = { { RegionName("north"), aNorth },
                        { RegionName("south"), 1 - aNorth } };
  return out;
}

} // namespace

// Guards against a slow drift of the plan that is never logged because each
// step alone is small, and against a line for each update.
TEST_CASE("a change is reported once it adds up to a notable share")
{
  PlacementWatch watch;
  const auto first = watch.OnUpdate(kService, Shares(1), At(0));
  REQUIRE(first);
  CHECK(first->mBefore.empty());
  CHECK_FALSE(watch.OnUpdate(kService, Shares(0.98), At(1)));
  const auto change = watch.OnUpdate(kService, Shares(0.96), At(2));
  REQUIRE(change);
  CHECK(change->mMoved == doctest::Approx(0.04));
  CHECK(Text(change->mBefore) == "north:1.00,south:0.00");
  CHECK(Text(change->mAfter) == "north:0.96,south:0.04");
  CHECK_FALSE(watch.OnUpdate(kService, Shares(0.96), At(3)));
}

// Guards against a log that fills when the plan of many services oscillates.
TEST_CASE("the number of reported changes per second is limited")
{
  PlacementWatch watch;
  size_t reports = 0;
  for (int n = 0; n < 1000; ++n) {
    reports += watch
                 .OnUpdate(ServiceName(std::to_string(n % 100)),
                           Shares(n / 100 % 2),
                           At(0.5))
                 .has_value();
  }
  CHECK(reports == 20);
}

// Guards against a measure that counts a moved request twice or not at all.
TEST_CASE("the moved share is half of the sum of the differences")
{
  const RegionName north("north");
  const RegionName south("south");
  const RegionName east("east");
  CHECK(MovedShare({ { north, 1 } }, { { south, 1 } }) == 1);
  CHECK(MovedShare({ { north, 0.7 }, { south, 0.3 } },
                   { { north, 0.5 }, { south, 0.3 }, { east, 0.2 } }) ==
        doctest::Approx(0.2));
}
