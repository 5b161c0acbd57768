#include "PlacementWatch.h"

#include <cstdio>

namespace pollenway {

namespace {

/// Share of a service's requests whose region must change before the change is
/// reported.
constexpr double kNotableShare = 0.03;
/// Maximum number of reported changes per second, over all services.
constexpr unsigned kMaxReportsPerSecond = 20;

} // namespace

PlacementWatch::PlacementWatch()
  : mLogRateLimit(kMaxReportsPerSecond)
{
}

std::optional<PlacementWatch::Change> PlacementWatch::OnUpdate(
  const ServiceName& aService,
  const PlacementShares& aShares,
  TimePoint aNow)
{
  const auto& after = aShares.mRegionShares;
  const auto [it, isNew] = mReported.try_emplace(aService);
  const double moved = MovedShare(it->second, after);
  if ((!isNew && moved < kNotableShare) || !mLogRateLimit.Allow(aNow)) {
    return std::nullopt;
  }
  return Change{ .mBefore = std::exchange(it->second, after),
                 .mAfter = after,
                 .mMoved = moved };
}

std::string Text(const RegionShares& aShares)
{
  std::string out;
  for (const auto& [region, share] : aShares) {
    char buf[16];
    std::snprintf(buf, sizeof buf, ":%.2f", share);
    out += (out.empty() ? "" : ",") + region.Text() + buf;
  }
  return out;
}

} // namespace pollenway
