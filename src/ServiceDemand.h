#pragma once

#include "Ids.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// Requests per second for one service.
struct ServiceRate
{
  ServiceName mService;
  double mRate = 0;

  bool operator==(const ServiceRate&) const = default;
};

/// Averages the rate of requests that an instance receives for each service.
class ServiceDemand
{
public:
  explicit ServiceDemand(TimePoint aStart);

  void OnRequest(const ServiceName& aService) { ++mArrived[aService]; }
  /// Adds the requests received since the last call to the averages.
  void Update(TimePoint aNow);
  std::vector<ServiceRate> Rates() const;

private:
  std::map<ServiceName, unsigned> mArrived;
  std::map<ServiceName, double> mRates;
  TimePoint mStart;
  TimePoint mUpdatedAt;
};

} // namespace pollenway
