#include "LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

constexpr size_t kMaxSources = 16;
constexpr double kHalfLifeSeconds = 5;
constexpr Duration kMaxAge = std::chrono::seconds(30);
constexpr double kRelativeTolerance = 0.2;
constexpr double kCapacityTolerance = 0.05;

double WeightOf(const LoadReport& aReport, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aReport.mMeasuredAt));
  return std::exp2(-age / kHalfLifeSeconds);
}

bool Agree(double aLeft, double aRight, double aCapacity)
{
  return std::abs(aLeft - aRight) <=
         std::max(kRelativeTolerance * std::max(aLeft, aRight),
                  kCapacityTolerance * aCapacity);
}

} // namespace

void LoadEstimate::Add(const LoadReport& aReport)
{
  if (!std::isfinite(aReport.mRate) || aReport.mRate < 0) {
    return;
  }
  for (auto& it : mReports) {
    if (it.mReporter == aReport.mReporter) {
      it = it.mMeasuredAt < aReport.mMeasuredAt ? aReport : it;
      return;
    }
  }
  if (mReports.size() < kMaxSources) {
    mReports.push_back(aReport);
    return;
  }
  auto oldest =
    std::min_element(mReports.begin(),
                     mReports.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mMeasuredAt < aRight.mMeasuredAt;
                     });
  *oldest = aReport;
}

void LoadEstimate::Update(double aCapacity, TimePoint aNow)
{
  mReports.erase(std::remove_if(mReports.begin(),
                                mReports.end(),
                                [&](const auto& aReport) {
                                  return aNow - aReport.mMeasuredAt > kMaxAge;
                                }),
                 mReports.end());
  double bestWeight = 0;
  double bestRate = 0;
  for (const auto& centre : mReports) {
    double weight = 0;
    double sum = 0;
    size_t n = 0;
    for (const auto& it : mReports) {
      if (Agree(centre.mRate, it.mRate, aCapacity)) {
        weight += WeightOf(it, aNow);
        sum += WeightOf(it, aNow) * it.mRate;
        ++n;
      }
    }
    // Between two groups of equal weight, the higher load is the safer choice.
    const double rate = sum / weight;
    if (n >= 2 &&
        (weight > bestWeight || (weight == bestWeight && rate > bestRate))) {
      bestWeight = weight;
      bestRate = rate;
    }
  }
  mIsCurrent = bestWeight > 0;
  if (mIsCurrent) {
    mAccepted = bestRate;
  }
}

} // namespace pollenway
