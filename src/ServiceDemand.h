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

/// Averages the requests for each service that an instance receives.
class ServiceDemand
{
public:
  explicit ServiceDemand(TimePoint aStart);

  void OnRequest(const ServiceName& aService) { ++mArrived[aService]; }
  /// Takes the requests since the last call into the averages.
  void Update(TimePoint aNow);
  std::vector<ServiceRate> Rates() const;

private:
  std::map<ServiceName, unsigned> mArrived;
  std::map<ServiceName, double> mRates;
  TimePoint mStart;
  TimePoint mUpdatedAt;
};

} // namespace pollenway
