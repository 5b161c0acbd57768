#include "LoanLevels.h"

#include <algorithm>

namespace pollenway {

void LoanLevels::Set(double aRate, TimePoint aEnd)
{
  if (RateUntil(aEnd) >= aRate) {
    return;
  }
  mLevels.erase(std::remove_if(mLevels.begin(),
                               mLevels.end(),
                               [&](const Level& aLevel) {
                                 return aLevel.mRate <= aRate &&
                                        aLevel.mUntil <= aEnd;
                               }),
                mLevels.end());
  const auto at =
    std::find_if(mLevels.begin(), mLevels.end(), [&](const Level& aLevel) {
      return aLevel.mUntil > aEnd;
    });
  mLevels.insert(at, { .mRate = aRate, .mUntil = aEnd });
}

double LoanLevels::RateUntil(TimePoint aEnd) const
{
  for (const auto& it : mLevels) {
    if (it.mUntil >= aEnd) {
      return it.mRate;
    }
  }
  return 0;
}

bool LoanLevels::Prune(TimePoint aNow)
{
  mLevels.erase(
    std::remove_if(mLevels.begin(),
                   mLevels.end(),
                   [&](const Level& aLevel) { return aLevel.mUntil <= aNow; }),
    mLevels.end());
  return !mLevels.empty();
}

} // namespace pollenway
