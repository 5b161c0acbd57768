#include "WorkspaceQuota.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace pollenway {

namespace {

/// Retry hint for a workspace without a usable share.
constexpr Duration kLongestRetryHint = std::chrono::seconds(2);
/// Part of the tolerance that the instances may use together between two
/// reports. Small workspaces have few requests at many instances, and their
/// parts alone would refuse some by chance.
constexpr double kUsedTolerance = 0.5;
constexpr double kLeastAllowance = 2;
/// Growth of a share from one interval to the next. An instance that is being
/// cut off sees its own demand rise and not that of the others.
constexpr double kShareGrowth = 1.3;
/// All instances together may admit this many times the view between two
/// reports. More than once, since the requests of an interval don't arrive in
/// proportion to the demand.
constexpr double kAllowanceOfView = 1.2;
/// Tokens of the share are saved up for this time only: the burst is in the
/// view.
constexpr double kShareDepthSeconds = 0.25;
/// One whole token, and what is refilled until the next request takes it.
constexpr double kLeastShareDepth = 1.5;
/// Arrivals from which on a multiple of the expected ones is a surge and not
/// chance, and that multiple.
constexpr unsigned kSurgeArrivals = 8;
constexpr double kSurgeFactor = 2.5;
constexpr double kHighestSurge = 20;
constexpr double kShortestSurgeSeconds = 0.1;
/// Part of the rate that is given out while the view is negative. The rest
/// makes up for what was admitted too much.
constexpr double kRateInDebt = 0.95;
/// The same while the debt is more than so many seconds of the rate. Many
/// instances together overrun the view of a small workspace by several times
/// its burst before they hear of each other.
constexpr double kRateInDeepDebt = 0.8;
constexpr double kDeepDebtSeconds = 0.5;
/// Debt beyond this many seconds of the rate is dropped.
constexpr double kMostDebtSeconds = 3;
/// Reports after the last change of a workspace, in case some are lost.
constexpr unsigned kRepeatedReports = 3;

} // namespace

void WorkspaceQuota::Account::Refill(TimePoint aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  const double seconds = ToSeconds(aNow - mRefilledAt);
  mLevel = std::min(mBurst, mLevel + mRate * seconds);
  mLevel = std::max(mLevel, -mRate * kMostDebtSeconds);
  const double given = mLevel < -mRate * kDeepDebtSeconds ? kRateInDeepDebt
                       : mLevel < 0                       ? kRateInDebt
                                                          : 1;
  const double rate = mRate * mShare * given;
  const double depth = std::max(kLeastShareDepth, rate * kShareDepthSeconds);
  mShareTokens = std::min(depth, mShareTokens + rate * seconds);
  mRefilledAt = aNow;
}

WorkspaceQuota::WorkspaceQuota(Options aOptions, bool aFirstStart)
  : mOptions(aOptions)
  , mStartFull(aFirstStart)
{
}

void WorkspaceQuota::SetWorkspaces(
  const std::vector<WorkspaceGrant>& aWorkspaces,
  TimePoint aNow)
{
  std::map<WorkspaceName, Account> accounts;
  for (const auto& it : aWorkspaces) {
    if (it.mRate <= 0) {
      continue;
    }
    const auto known = mAccounts.find(it.mName);
    const bool isNew = known == mAccounts.end();
    Account account = isNew ? Account() : known->second;
    if (isNew) {
      account.mShare = 1.0 / double(mKnownInstances);
      account.mRefilledAt = aNow;
      account.mLevel = mStartFull ? it.mBurst : 0;
    }
    account.Refill(aNow);
    account.mRate = it.mRate;
    account.mBurst = it.mBurst;
    account.mLevel = std::min(account.mLevel, account.mBurst);
    account.mShareTokens = std::min(
      account.mShareTokens, std::max(1.0, account.mBurst * account.mShare));
    accounts.emplace(it.mName, account);
  }
  mAccounts = std::move(accounts);
}

void WorkspaceQuota::OnReport(const InstanceName& aInstance,
                              uint64_t aRun,
                              const std::vector<WorkspaceUse>& aUses,
                              TimePoint aNow)
{
  auto& reporter = mReporters[aInstance];
  const bool isFirst = reporter.mRun == 0;
  if (reporter.mRun != aRun) {
    reporter.mRun = aRun;
    reporter.mUses.clear();
  }
  for (const auto& it : aUses) {
    auto [known, isNew] = reporter.mUses.try_emplace(it.mWorkspace, it);
    const int64_t before = isNew ? 0 : known->second.mAdmitted;
    known->second = it;
    const auto account = mAccounts.find(it.mWorkspace);
    // What an instance admitted before this one heard of it is long past.
    if (account != mAccounts.end() && !(isFirst && isNew)) {
      account->second.Refill(aNow);
      account->second.mLevel -= double(it.mAdmitted - before);
    }
  }
}

void WorkspaceQuota::MeasureDemand(Account& aAccount, double aSeconds) const
{
  if (aSeconds <= 0) {
    return;
  }
  const double expected = std::max(1.0, aAccount.mDemand * aSeconds);
  const bool isSurge = aAccount.mArrived >= kSurgeArrivals &&
                       aAccount.mArrived > kSurgeFactor * expected;
  aAccount.mSurge =
    isSurge ? std::min(kHighestSurge, aAccount.mArrived / expected) : 1;
  const double kept = std::exp(-aSeconds / ToSeconds(mOptions.mDemandWindow));
  aAccount.mDemand =
    aAccount.mDemand * kept + aAccount.mArrived / aSeconds * (1 - kept);
}

double WorkspaceQuota::DemandOfOthers(const WorkspaceName& aWorkspace,
                                      const InstanceTable& aInstances,
                                      TimePoint aNow) const
{
  double out = 0;
  for (const auto* peer : aInstances.Live(aNow)) {
    const auto reporter = mReporters.find(peer->mSummary.mName);
    if (reporter == mReporters.end()) {
      continue;
    }
    const auto use = reporter->second.mUses.find(aWorkspace);
    out += use == reporter->second.mUses.end() ? 0 : use->second.mDemand;
  }
  return out;
}

void WorkspaceQuota::Divide(Account& aAccount, const Hearing& aHearing) const
{
  const double even = 1.0 / double(aHearing.mKnown);
  const bool isCutOff = aHearing.mFresh < 0.5;
  double share = mOptions.mEvenPart * even;
  if (!isCutOff) {
    const double sum = aAccount.mDemand + aAccount.mDemandOfOthers;
    share +=
      (1 - mOptions.mEvenPart) * (sum > 0 ? aAccount.mDemand / sum : even);
    share = std::min(share, std::max(even, aAccount.mShare * kShareGrowth));
  }
  // Tokens move with the share, or a move would create burst.
  if (share < aAccount.mShare && aAccount.mShare > 0) {
    aAccount.mShareTokens *= share / aAccount.mShare;
  }
  aAccount.mShare = share;
  // A surge here is likely one at the others as well, not reported yet.
  const double unreported =
    aAccount.mDemandOfOthers * aAccount.mSurge * ToSeconds(mOptions.mReportAge);
  const double view = aAccount.mLevel - unreported;
  if (isCutOff || view <= 0) {
    aAccount.mAllowance = 0;
    return;
  }
  const double window =
    aAccount.mRate * ToSeconds(mOptions.mWindow) + aAccount.mBurst;
  const double tolerance =
    (mOptions.mOverage * window + mOptions.mSlack) * kUsedTolerance * even;
  aAccount.mAllowance =
    std::max(kLeastAllowance, kAllowanceOfView * view * share + tolerance) *
    aHearing.mFresh;
}

WorkspaceQuota::Hearing WorkspaceQuota::Listen(const InstanceTable& aInstances,
                                               TimePoint aNow)
{
  Hearing out;
  out.mKnown = aInstances.CountKnown() + 1;
  size_t fresh = 1;
  for (const auto& [name, peer] : aInstances.All()) {
    fresh += aInstances.IsFresh(peer, aNow) ? 1 : 0;
  }
  out.mFresh = double(fresh) / double(out.mKnown);
  return out;
}

std::vector<WorkspaceUse> WorkspaceQuota::BeginInterval(
  const InstanceTable& aInstances,
  TimePoint aNow)
{
  const Hearing hearing = Listen(aInstances, aNow);
  mKnownInstances = hearing.mKnown;
  const double seconds =
    mIntervalBegan == TimePoint{} ? 0 : ToSeconds(aNow - mIntervalBegan);
  mIntervalBegan = aNow;
  std::erase_if(mReporters, [&](const auto& aEntry) {
    return !aInstances.All().contains(aEntry.first);
  });
  std::vector<WorkspaceUse> out;
  for (auto& [name, account] : mAccounts) {
    account.Refill(aNow);
    MeasureDemand(account, seconds);
    account.mDemandOfOthers = DemandOfOthers(name, aInstances, aNow);
    Divide(account, hearing);
    account.mQuietReports =
      account.mArrived > 0 ? 0 : account.mQuietReports + 1;
    account.mArrived = 0;
    if (account.mQuietReports <= kRepeatedReports ||
        account.mDemand > 0.01 * account.mRate) {
      out.push_back({ name, account.mDemand, account.mAdmitted });
    }
  }
  return out;
}

bool WorkspaceQuota::Admit(const WorkspaceName& aWorkspace, TimePoint aNow)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    return true;
  }
  auto& account = it->second;
  ++account.mArrived;
  account.Refill(aNow);
  const double expected =
    account.mDemand *
    std::max(ToSeconds(aNow - mIntervalBegan), kShortestSurgeSeconds);
  if (account.mArrived >= kSurgeArrivals && mOnSurge &&
      account.mArrived > kSurgeFactor * (expected + 1) &&
      account.mDemand < account.mRate) {
    mOnSurge();
  }
  if (account.mAllowance >= 1 && account.mLevel >= 1) {
    account.mAllowance -= 1;
  } else if (account.mShareTokens >= 1) {
    account.mShareTokens -= 1;
  } else {
    return false;
  }
  account.mLevel -= 1;
  ++account.mAdmitted;
  return true;
}

void WorkspaceQuota::Return(const WorkspaceName& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end()) {
    it->second.mLevel += 1;
    it->second.mAdmitted -= 1;
  }
}

std::string WorkspaceQuota::Explain(const WorkspaceName& aWorkspace) const
{
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    return {};
  }
  const auto& account = it->second;
  char buf[160];
  std::snprintf(buf,
                sizeof(buf),
                "rate:%.0f,level:%.1f,share:%.3f,demand:%.1f,others:%.1f,"
                "instances:%zu",
                account.mRate,
                account.mLevel,
                account.mShare,
                account.mDemand,
                account.mDemandOfOthers,
                mKnownInstances);
  return buf;
}

nlohmann::json WorkspaceQuota::State() const
{
  nlohmann::json out = nlohmann::json::array();
  for (const auto& [name, account] : mAccounts) {
    out.push_back({ { "workspace", name.Text() },
                    { "rate", account.mRate },
                    { "burst", account.mBurst },
                    { "level", account.mLevel },
                    { "share", account.mShare },
                    { "demand", account.mDemand },
                    { "demand_of_others", account.mDemandOfOthers },
                    { "admitted", account.mAdmitted } });
  }
  return out;
}

Duration WorkspaceQuota::TimeUntilAdmitted(
  const WorkspaceName& aWorkspace) const
{
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    return Duration::zero();
  }
  const auto& account = it->second;
  const double rate = account.mRate * account.mShare;
  if (rate <= 0) {
    return kLongestRetryHint;
  }
  return std::min(kLongestRetryHint,
                  FromSeconds(std::max(0.0, 1 - account.mShareTokens) / rate));
}

} // namespace pollenway
