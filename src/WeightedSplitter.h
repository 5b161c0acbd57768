#pragma once

#include "RoutingRule.h"

#include <map>
#include <string>
#include <vector>

namespace pollenway {

/// Divides the requests of each route among its services by smooth weighted
/// round robin. In any sequence of requests, each service's count differs from
/// its weighted share by at most one request.
class WeightedSplitter
{
public:
  /// Returns the service for the route's next request. `aRule` must have at
  /// least one service.
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
