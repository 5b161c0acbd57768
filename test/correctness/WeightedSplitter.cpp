#include "WeightedSplitter.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against services of a route that receive more or less than their
// weight.
TEST_CASE("each service is within one request of its weight")
{
  RoutingRule rule;
  rule.mName = "r";
  rule.mServices = { { ServiceName("a"), 90 },
                     { ServiceName("b"), 9 },
                     { ServiceName("c"), 1 } };
  WeightedSplitter splitter;
  std::map<ServiceName, int> counts;
  for (int n = 1; n <= 500; ++n) {
    ++counts[splitter.Next(rule)];
    for (const auto& it : rule.mServices) {
      const double expected = n * it.mWeight / 100;
      CHECK(counts[it.mService] >= expected - 1);
      CHECK(counts[it.mService] <= expected + 1);
    }
  }
}

// Guards against old weights that remain in use after a change.
TEST_CASE("changed weights apply from the next request")
{
  RoutingRule rule;
  rule.mName = "r";
  rule.mServices = { { ServiceName("a"), 1 }, { ServiceName("b"), 0 } };
  WeightedSplitter splitter;
  CHECK(splitter.Next(rule) == ServiceName("a"));
  rule.mServices = { { ServiceName("a"), 0 }, { ServiceName("b"), 1 } };
  for (int n = 0; n < 5; ++n) {
    CHECK(splitter.Next(rule) == ServiceName("b"));
  }
}
