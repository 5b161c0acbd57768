#pragma once

#include "Time.h"

#include <cstdint>

namespace pollenway {

/// Limits the number of log lines per second and counts the suppressed ones.
class LogRateLimit
{
public:
  explicit LogRateLimit(unsigned aLinesPerSecond)
    : mMaxLines(aLinesPerSecond)
  {
  }

  bool Allow(TimePoint aNow)
  {
    if (aNow - mWindowStartedAt >= std::chrono::seconds(1)) {
      mWindowStartedAt = aNow;
      mLines = 0;
    }
    if (mLines >= mMaxLines) {
      ++mSuppressed;
      return false;
    }
    ++mLines;
    return true;
  }

  /// Returns the number of lines suppressed since the last call.
  uint64_t TakeSuppressed()
  {
    const uint64_t n = mSuppressed;
    mSuppressed = 0;
    return n;
  }

private:
  unsigned mMaxLines;
  TimePoint mWindowStartedAt{};
  unsigned mLines = 0;
  uint64_t mSuppressed = 0;
};

} // namespace pollenway
