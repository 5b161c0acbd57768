#pragma once

#include "Time.h"

#include <cstdint>

namespace pollenway {

/// Bounds the number of log lines in a second; the others are counted.
class LineLimit
{
public:
  explicit LineLimit(unsigned aLinesPerSecond)
    : mMost(aLinesPerSecond)
  {
  }

  bool Allow(TimePoint aNow)
  {
    if (aNow - mSecond >= std::chrono::seconds(1)) {
      mSecond = aNow;
      mLines = 0;
    }
    if (mLines >= mMost) {
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
  unsigned mMost;
  TimePoint mSecond{};
  unsigned mLines = 0;
  uint64_t mSuppressed = 0;
};

} // namespace pollenway
