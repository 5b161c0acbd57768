#include "LoanLevels.h"

#include <algorithm>

namespace pollenway {

void LoanLevels::Set(double aRate, TimePoint aEnd)
{
  if (Until(aEnd) >= aRate) {
    return;
  }
  mLevels.erase(std::remove_if(mLevels.begin(),
                               mLevels.end(),
                               [&](const Level& aLevel) {
                                 return aLevel.mRate <= aRate &&
                                        aLevel.mEnd <= aEnd;
                               }),
                mLevels.end());
  const auto at =
    std::find_if(mLevels.begin(), mLevels.end(), [&](const Level& aLevel) {
      return aLevel.mEnd > aEnd;
    });
  mLevels.insert(at, { .mRate = aRate, .mEnd = aEnd });
}

double LoanLevels::Until(TimePoint aEnd) const
{
  for (const auto& it : mLevels) {
    if (it.mEnd >= aEnd) {
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
                   [&](const Level& aLevel) { return aLevel.mEnd <= aNow; }),
    mLevels.end());
  return !mLevels.empty();
}

} // namespace pollenway
