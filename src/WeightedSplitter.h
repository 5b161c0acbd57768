#pragma once

#include "RoutingRule.h"

#include <map>
#include <string>
#include <vector>

namespace pollenway {

/// Divides the requests of each route among its services by weight. Any run of
/// requests differs from the weights by at most one request for each service
/// (smooth weighted round robin).
class WeightedSplitter
{
public:
  /// The service of the route's next request. `aRule` has services.
  const ServiceName& Next(const RoutingRule& aRule);

private:
  struct Credit
  {
    std::vector<WeightedService> mServices;
    std::vector<double> mCredits;
  };

  std::map<std::string, Credit> mByRule;
};

} // namespace pollenway
