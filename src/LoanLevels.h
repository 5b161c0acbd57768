#pragma once

#include "Time.h"

#include <vector>

namespace pollenway {

/// Headroom that one instance has lent another: a rate (requests/s) that
/// stands until a time. A new level replaces an older one only where it is
/// higher or lasts longer, so both sides, which set the same levels, count at
/// any time the highest that has not ended. Renewing a loan thus never counts
/// it twice, and a lower level takes effect when the higher one ends.
class LoanLevels
{
public:
  void Set(double aRate, TimePoint aEnd);

  /// The highest level that stands until `aEnd` or longer.
  double RateUntil(TimePoint aEnd) const;

  /// Forgets levels that ended at `aNow`; returns whether any are left.
  bool Prune(TimePoint aNow);

private:
  struct Level
  {
    double mRate = 0;
    TimePoint mUntil;
  };

  /// Falling rates with rising ends.
  std::vector<Level> mLevels;
};

} // namespace pollenway
