#include "WeightedSplitter.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

const ServiceName& WeightedSplitter::Next(const RoutingRule& aRule)
{
  POLLENWAY_ASSERT(!aRule.mServices.empty(),
                   "a routing rule needs at least one service");
  if (aRule.mServices.size() == 1) {
    return aRule.mServices.front().mService;
  }
  auto& credit = mByRule[aRule.mName];
  if (credit.mServices != aRule.mServices) {
    credit.mServices = aRule.mServices;
    credit.mCredits.assign(aRule.mServices.size(), 0);
  }
  double sum = 0;
  size_t best = 0;
  for (size_t n = 0; n < credit.mCredits.size(); ++n) {
    const double weight = aRule.mServices[n].mWeight;
    credit.mCredits[n] += weight;
    sum += weight;
    best = credit.mCredits[n] > credit.mCredits[best] ? n : best;
  }
  credit.mCredits[best] -= sum;
  return aRule.mServices[best].mService;
}

} // namespace pollenway
