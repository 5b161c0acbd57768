#include "UseSelection.h"

#include <cmath>

namespace pollenway {

namespace {

/// Number of digests that report a change.
constexpr unsigned kRepeatedReports = 3;
/// One digest of this many reports all uses. It is sent twice a second, and
/// receivers expect all uses within ten seconds.
constexpr unsigned kFullReportEvery = 16;
/// Changes of the demand below this fraction, or this number of requests per
/// second, are not worth a report.
constexpr double kMinDemandChange = 0.1;
constexpr double kMinRateChange = 0.1;

bool HasChanged(double aOld, double aNew)
{
  return std::abs(aNew - aOld) > kMinRateChange + kMinDemandChange * aOld;
}

} // namespace

std::vector<WorkspaceUse> UseSelection::Select(
  const std::vector<WorkspaceUse>& aUses)
{
  const bool isFull = mDigests++ % kFullReportEvery == 0;
  std::vector<WorkspaceUse> out;
  for (const auto& it : aUses) {
    auto [entry, isNew] = mSent.try_emplace(it.mWorkspace);
    auto& sent = entry->second;
    if (isNew || it.mAdmitted != sent.mAdmitted ||
        HasChanged(sent.mDemand, it.mDemand)) {
      sent = { it.mDemand, it.mAdmitted, 0 };
    }
    if (isFull || sent.mRepeats < kRepeatedReports) {
      ++sent.mRepeats;
      out.push_back(it);
    }
  }
  return out;
}

} // namespace pollenway
