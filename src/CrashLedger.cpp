#include "CrashLedger.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Maximum number of requests counted at one instance.
constexpr size_t kMaxOwnRequests = 4096;

} // namespace

bool CrashLedger::IsRefused(RequestFingerprint aRequest) const
{
  const auto own = mOwnCounts.find(aRequest);
  unsigned count = own == mOwnCounts.end() ? 0 : own->second.mCount;
  for (const auto& [instance, report] : mReports) {
    for (const auto& it : report.mCounts) {
      count += it.mRequest == aRequest ? it.mCount : 0;
    }
  }
  for (const auto& it : mOtherZones) {
    count += it.mRequest == aRequest ? it.mCount : 0;
  }
  return count >= kRefusalThreshold;
}

void CrashLedger::OnConnectionLost(RequestFingerprint aRequest, TimePoint aNow)
{
  if (mOwnCounts.size() >= kMaxOwnRequests && !mOwnCounts.contains(aRequest)) {
    return;
  }
  auto& own = mOwnCounts[aRequest];
  ++own.mCount;
  own.mLastLossAt = aNow;
}

void CrashLedger::OnAnswer(RequestFingerprint aRequest)
{
  mOwnCounts.erase(aRequest);
}

void CrashLedger::DiscardSince(TimePoint aTime)
{
  std::erase_if(mOwnCounts, [&](const auto& aEntry) {
    return aEntry.second.mLastLossAt >= aTime;
  });
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

std::vector<CrashCount> CrashLedger::SumOfZone(TimePoint aNow)
{
  std::vector<CrashCount> out = Report(aNow);
  for (const auto& [instance, report] : mReports) {
    out = SumCrashCounts(std::move(out), report.mCounts);
  }
  return out;
}

std::vector<CrashCount> CrashLedger::Report(TimePoint aNow)
{
  std::erase_if(mOwnCounts, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastLossAt > kEntryTtl;
  });
  std::erase_if(mReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.mReceivedAt > kEntryTtl;
  });
  std::vector<std::pair<TimePoint, CrashCount>> latest;
  for (const auto& [request, own] : mOwnCounts) {
    latest.push_back({ own.mLastLossAt, { request, own.mCount } });
  }
  const size_t n = std::min(kMaxReportedCrashes, latest.size());
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
