#pragma once

#include "Time.h"

#include <vector>

namespace pollenway {

/// Headroom that one instance has lent to another, as levels: rates
/// (requests/s) with an end time. A new level replaces older ones only where it
/// is higher or lasts longer. The lender and the borrower set the same levels,
/// so both count the highest one that has not ended. Renewing a loan therefore
/// never counts it twice, and a lower level takes effect when the higher one
/// ends.
class LoanLevels
{
public:
  void Set(double aRate, TimePoint aEnd);

  /// Returns the highest level that ends at `aEnd` or later.
  double RateUntil(TimePoint aEnd) const;

  /// Removes levels that have ended at `aNow`. Returns true if any are left.
  bool Prune(TimePoint aNow);

private:
  struct Level
  {
    double mRate = 0;
    TimePoint mUntil;
  };

  /// In order of decreasing rate and increasing end.
  std::vector<Level> mLevels;
};

} // namespace pollenway
