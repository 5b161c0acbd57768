#include "CrashLedger.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Requests in one report, so that it fits its datagram. More at a time are
/// the breaks of a network, not of single requests.
constexpr size_t kMostReported = 32;
/// Requests kept at one instance.
constexpr size_t kMostKept = 4096;

} // namespace

bool CrashLedger::IsRefused(RequestFingerprint aRequest) const
{
  const auto own = mOwn.find(aRequest);
  unsigned count = own == mOwn.end() ? 0 : own->second.mCount;
  for (const auto& [instance, report] : mReports) {
    for (const auto& it : report.mCounts) {
      count += it.mRequest == aRequest ? it.mCount : 0;
    }
  }
  return count >= kMostBreaks;
}

void CrashLedger::OnBreak(RequestFingerprint aRequest, TimePoint aNow)
{
  if (mOwn.size() >= kMostKept && !mOwn.contains(aRequest)) {
    return;
  }
  auto& own = mOwn[aRequest];
  ++own.mCount;
  own.mLast = aNow;
}

void CrashLedger::OnAnswer(RequestFingerprint aRequest)
{
  mOwn.erase(aRequest);
}

void CrashLedger::OnReport(const InstanceName& aInstance,
                           const std::vector<CrashCount>& aCounts,
                           TimePoint aNow)
{
  if (aCounts.empty()) {
    mReports.erase(aInstance);
  } else {
    mReports[aInstance] = { aCounts, aNow };
  }
}

std::vector<CrashCount> CrashLedger::Report(TimePoint aNow)
{
  std::erase_if(mOwn, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLast > kForgottenAfter;
  });
  std::erase_if(mReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAt > kForgottenAfter;
  });
  std::vector<std::pair<TimePoint, CrashCount>> latest;
  for (const auto& [request, own] : mOwn) {
    latest.push_back({ own.mLast, { request, own.mCount } });
  }
  const size_t n = std::min(kMostReported, latest.size());
  std::partial_sort(latest.begin(),
                    latest.begin() + ptrdiff_t(n),
                    latest.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  std::vector<CrashCount> out;
  for (size_t k = 0; k < n; ++k) {
    out.push_back(latest[k].second);
  }
  return out;
}

} // namespace pollenway
