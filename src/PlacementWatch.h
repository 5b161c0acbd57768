#pragma once

#include "Ids.h"
#include "LogRateLimit.h"
#include "PlacementPlan.h"
#include "RegionShares.h"
#include "Time.h"

#include <map>
#include <optional>
#include <string>

namespace pollenway {

/// Finds notable changes of the regions in which the plan places a service's
/// requests, for the log. The number of reported changes per second is limited.
class PlacementWatch
{
public:
  struct Change
  {
    /// Empty for a service that had no plan.
    RegionShares mBefore;
    RegionShares mAfter;
    /// Share of the requests that change their region.
    double mMoved = 0;
  };

  PlacementWatch();

  /// Returns the change since the last reported one if it is notable.
  std::optional<Change> OnUpdate(const ServiceName& aService,
                                 const PlacementShares& aShares,
                                 TimePoint aNow);

private:
  std::map<ServiceName, RegionShares> mReported;
  LogRateLimit mLogRateLimit;
};

/// Returns "akl:0.62,wlg:0.38" for the log.
std::string Text(const RegionShares& aShares);

} // namespace pollenway
