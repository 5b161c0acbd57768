#pragma once

#include "Time.h"

#include <cstdint>

namespace pollenway {

/// Bounds the number of log lines in a second; the others are counted.
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

  /// Lines that were not allowed since the last call.
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
