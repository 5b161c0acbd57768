#include "EventLoopLag.h"

#include "MetricsWriter.h"

#include <algorithm>

namespace pollenway {

std::optional<Duration> EventLoopLag::OnRun(TimePoint aNow)
{
  if (!mDue) {
    return std::nullopt;
  }
  mLast = std::max<Duration>(aNow - *mDue, Duration::zero());
  mDue.reset();
  mMax = std::max(mMax, mLast);
  mSum += mLast;
  ++mCount;
  const auto bound =
    std::lower_bound(kBounds.begin(), kBounds.end(), ToSeconds(mLast));
  ++mBuckets[size_t(bound - kBounds.begin())];
  mUnreported = std::max(mUnreported, mLast);
  if (mUnreported < kReportedLag ||
      (mReportedAt && aNow - *mReportedAt < kReportInterval)) {
    return std::nullopt;
  }
  mReportedAt = aNow;
  const Duration out = mUnreported;
  mUnreported = Duration::zero();
  return out;
}

Duration EventLoopLag::Current(TimePoint aNow) const
{
  return mDue ? std::max<Duration>(mLast, aNow - *mDue) : mLast;
}

void EventLoopLag::WriteTo(MetricsWriter& aWriter) const
{
  aWriter.Begin("pollenway_event_loop_lag_seconds",
                "histogram",
                "Delay of a periodic timer of the event loop.");
  uint64_t total = 0;
  for (size_t n = 0; n < kBounds.size(); ++n) {
    total += mBuckets[n];
    aWriter.Sample({ { "le", NumberText(kBounds[n]) } }, total, "_bucket");
  }
  aWriter.Sample({ { "le", "+Inf" } }, mCount, "_bucket");
  aWriter.Sample({}, ToSeconds(mSum), "_sum");
  aWriter.Sample({}, mCount, "_count");
  aWriter.Begin("pollenway_event_loop_lag_max_seconds",
                "gauge",
                "Greatest delay of that timer since the start.");
  aWriter.Sample({}, ToSeconds(mMax));
}

} // namespace pollenway
