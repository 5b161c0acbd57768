#include "ServiceDemand.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

/// Averaging window. Objects move when the averages change, and each moved
/// object costs a cold run, so the averages should follow only lasting changes.
constexpr double kAveragingSeconds = 15;

} // namespace

ServiceDemand::ServiceDemand(TimePoint aStart)
  : mStart(aStart)
  , mUpdatedAt(aStart)
{
}

void ServiceDemand::Update(TimePoint aNow)
{
  const double seconds = ToSeconds(aNow - mUpdatedAt);
  if (seconds <= 0) {
    return;
  }
  // Until a full window has passed, the average covers the whole time since the
  // start with equal weight.
  const double window =
    std::min(kAveragingSeconds, std::max(seconds, ToSeconds(aNow - mStart)));
  const double weight = std::min(1.0, seconds / window);
  for (const auto& [service, count] : mArrived) {
    mRates.try_emplace(service, 0);
  }
  for (auto& [service, rate] : mRates) {
    const auto it = mArrived.find(service);
    const double currentRate = it == mArrived.end() ? 0 : it->second / seconds;
    rate += (currentRate - rate) * weight;
  }
  mArrived.clear();
  mUpdatedAt = aNow;
}

std::vector<ServiceRate> ServiceDemand::Rates() const
{
  std::vector<ServiceRate> out;
  for (const auto& [service, rate] : mRates) {
    if (rate > 0.01) {
      out.push_back({ service, rate });
    }
  }
  return out;
}

} // namespace pollenway
