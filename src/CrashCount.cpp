#include "CrashCount.h"

#include <algorithm>

namespace pollenway {

std::vector<CrashCount> SumCrashCounts(std::vector<CrashCount> aLeft,
                                       const std::vector<CrashCount>& aRight)
{
  for (const auto& count : aRight) {
    const auto it =
      std::find_if(aLeft.begin(), aLeft.end(), [&](const auto& aCount) {
        return aCount.mRequest == count.mRequest;
      });
    if (it != aLeft.end()) {
      it->mCount += count.mCount;
    } else {
      aLeft.push_back(count);
    }
  }
  if (aLeft.size() > kMaxReportedCrashes) {
    std::nth_element(aLeft.begin(),
                     aLeft.begin() + kMaxReportedCrashes,
                     aLeft.end(),
                     [](const auto& aFirst, const auto& aSecond) {
                       return aFirst.mCount > aSecond.mCount;
                     });
    aLeft.resize(kMaxReportedCrashes);
  }
  return aLeft;
}

} // namespace pollenway
