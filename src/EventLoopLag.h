#pragma once

#include "Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pollenway {

class MetricsWriter;

/// Measures how late an event loop runs a periodic timer. What waits in the
/// sockets of the process waits about as long as its timers.
class EventLoopLag
{
public:
  /// Lag from which it is reported to the log.
  static constexpr Duration kReportedLag = std::chrono::milliseconds(100);
  /// Minimum time between two reports.
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  /// Called when the timer is set to `aDue`.
  void OnSet(TimePoint aDue) { mDue = aDue; }
  /// Called when the timer's handler runs. Returns the greatest lag since the
  /// last report if it should be reported now.
  std::optional<Duration> OnRun(TimePoint aNow);
  /// Returns the lag measured last, or that of the timer that should have run
  /// by now if it is greater.
  Duration Current(TimePoint aNow) const;

  uint64_t Count() const { return mCount; }
  Duration Max() const { return mMax; }
  void WriteTo(MetricsWriter& aWriter) const;

private:
  /// Upper bounds of the histogram's buckets in seconds.
  static constexpr std::array kBounds = { 0.001, 0.0025, 0.005, 0.01,
                                          0.025, 0.05,   0.1,   0.25,
                                          0.5,   1.0,    2.5,   5.0 };

  std::optional<TimePoint> mDue;
  Duration mLast{};
  Duration mMax{};
  Duration mSum{};
  uint64_t mCount = 0;
  /// The last bucket has no upper bound.
  std::array<uint64_t, kBounds.size() + 1> mBuckets{};
  Duration mUnreported{};
  std::optional<TimePoint> mReportedAt;
};

} // namespace pollenway
