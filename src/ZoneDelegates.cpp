#include "ZoneDelegates.h"

#include "HashOf.h"

#include <algorithm>
#include <tuple>

namespace pollenway {

namespace {

/// Age of a recent summary. Two lost ones in a row make the instance lose its
/// role as a delegate, so that another one takes over soon.
constexpr Duration kMaxSummaryAge = std::chrono::milliseconds(1250);

} // namespace

std::vector<ZoneDelegate> ChooseDelegates(const InstanceTable& aInstances,
                                          const ZoneDelegate& aSelf,
                                          bool aIsSelfAvailable,
                                          TimePoint aNow)
{
  struct Candidate
  {
    bool mIsRecent;
    bool mIsAvailable;
    uint64_t mHash;
    ZoneDelegate mDelegate;
  };
  std::vector<Candidate> ranked{
    { true, aIsSelfAvailable, HashOf({ aSelf.mName.Text() }), aSelf }
  };
  for (const auto* it : aInstances.Live(aNow)) {
    const auto& summary = it->mSummary;
    ranked.push_back({ aNow - it->mLastReceivedAt < kMaxSummaryAge,
                       summary.mReady || summary.mIsStarting,
                       HashOf({ summary.mName.Text() }),
                       { summary.mName, summary.mPeer } });
  }
  const size_t n = std::min(kDelegatesPerZone, ranked.size());
  std::partial_sort(
    ranked.begin(),
    ranked.begin() + ptrdiff_t(n),
    ranked.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tuple(!aLeft.mIsRecent, !aLeft.mIsAvailable, aLeft.mHash) <
             std::tuple(!aRight.mIsRecent, !aRight.mIsAvailable, aRight.mHash);
    });
  std::vector<ZoneDelegate> out;
  for (size_t k = 0; k < n; ++k) {
    out.push_back(std::move(ranked[k].mDelegate));
  }
  return out;
}

} // namespace pollenway
