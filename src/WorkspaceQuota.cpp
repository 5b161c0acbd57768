#include "WorkspaceQuota.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace pollenway {

namespace {

/// Maximum time suggested for a retry; used for a workspace without a usable
/// share.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
/// Fraction of the tolerance that all instances together may use between two
/// reports. Small workspaces have few requests at each of many instances, and
/// with only their shares the instances would refuse some by chance.
constexpr double kUsedToleranceFraction = 0.5;
constexpr double kMinAllowance = 2;
/// Maximum growth factor of a share from one interval to the next. An instance
/// that is being cut off sees its own demand rise but not that of the others.
constexpr double kMaxShareGrowth = 1.3;
/// Multiple of the tokens in the view that all instances together may admit
/// between two reports. It exceeds 1 because the requests of an interval don't
/// arrive in proportion to the demand.
constexpr double kAllowanceFactor = 1.2;
/// An instance's share accumulates tokens for this time only, as the burst is
/// already in the view.
constexpr double kShareDepthSeconds = 0.25;
/// Minimum depth: one whole token plus the refill until the next request takes
/// it.
constexpr double kMinShareDepth = 1.5;
/// Minimum number of arrivals, and their minimum multiple of the expected
/// number, for a surge. Fewer can be chance.
constexpr unsigned kMinSurgeArrivals = 8;
constexpr double kMinSurgeFactor = 2.5;
constexpr double kMaxSurgeFactor = 20;
constexpr double kMinSurgeSeconds = 0.1;
/// Fraction of the rate that is admitted while the view is negative. The rest
/// compensates for excess admissions.
constexpr double kDebtRateFactor = 0.95;
/// The same fraction while the debt exceeds `kDeepDebtSeconds` of the rate.
/// Many instances together exceed the view of a small workspace by several
/// times its burst before they receive each other's reports.
constexpr double kDeepDebtRateFactor = 0.8;
constexpr double kDeepDebtSeconds = 0.5;
/// Debt beyond this many seconds of the rate is discarded.
constexpr double kMaxDebtSeconds = 3;
/// Number of reports on a workspace after its last change, in case some are
/// lost.
constexpr unsigned kRepeatedReports = 3;

} // namespace

void WorkspaceQuota::Account::Refill(TimePoint aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  const double seconds = ToSeconds(aNow - mRefilledAt);
  mTokens = std::min(mBurst, mTokens + mRate * seconds);
  mTokens = std::max(mTokens, -mRate * kMaxDebtSeconds);
  const double rateFactor = mTokens < -mRate * kDeepDebtSeconds
                              ? kDeepDebtRateFactor
                            : mTokens < 0 ? kDebtRateFactor
                                          : 1;
  const double rate = mRate * mShare * rateFactor;
  const double depth = std::max(kMinShareDepth, rate * kShareDepthSeconds);
  mShareTokens = std::min(depth, mShareTokens + rate * seconds);
  mRefilledAt = aNow;
}

WorkspaceQuota::WorkspaceQuota(Options aOptions, bool aIsFirstStart)
  : mOptions(aOptions)
  , mIsFirstStart(aIsFirstStart)
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
      account.mTokens = mIsFirstStart ? it.mBurst : 0;
    }
    account.Refill(aNow);
    account.mRate = it.mRate;
    account.mBurst = it.mBurst;
    account.mTokens = std::min(account.mTokens, account.mBurst);
    account.mShareTokens = std::min(
      account.mShareTokens, std::max(1.0, account.mBurst * account.mShare));
    accounts.emplace(it.mName, account);
  }
  mAccounts = std::move(accounts);
}

void WorkspaceQuota::OnReport(const InstanceName& aInstance,
                              uint64_t aIncarnation,
                              const std::vector<WorkspaceUse>& aUses,
                              TimePoint aNow)
{
  auto& reporter = mReporters[aInstance];
  const bool isFirst = reporter.mIncarnation == 0;
  if (reporter.mIncarnation != aIncarnation) {
    reporter.mIncarnation = aIncarnation;
    reporter.mUses.clear();
  }
  for (const auto& it : aUses) {
    auto [known, isNew] = reporter.mUses.try_emplace(it.mWorkspace, it);
    const int64_t before = isNew ? 0 : known->second.mAdmitted;
    known->second = it;
    const auto account = mAccounts.find(it.mWorkspace);
    // Requests admitted before an instance's first report arrived here are too
    // old to count.
    if (account != mAccounts.end() && !(isFirst && isNew)) {
      account->second.Refill(aNow);
      account->second.mTokens -= double(it.mAdmitted - before);
    }
  }
}

void WorkspaceQuota::UpdateDemand(Account& aAccount, double aSeconds) const
{
  if (aSeconds <= 0) {
    return;
  }
  const double expected = std::max(1.0, aAccount.mDemand * aSeconds);
  const bool isSurge = aAccount.mArrived >= kMinSurgeArrivals &&
                       aAccount.mArrived > kMinSurgeFactor * expected;
  aAccount.mSurgeFactor =
    isSurge ? std::min(kMaxSurgeFactor, aAccount.mArrived / expected) : 1;
  const double decay = std::exp(-aSeconds / ToSeconds(mOptions.mDemandWindow));
  aAccount.mDemand =
    aAccount.mDemand * decay + aAccount.mArrived / aSeconds * (1 - decay);
}

double WorkspaceQuota::SumPeerDemand(const WorkspaceName& aWorkspace,
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

void WorkspaceQuota::UpdateShare(Account& aAccount,
                                 const Reachability& aReachability) const
{
  const double evenShare = 1.0 / double(aReachability.mKnownCount);
  const bool isCutOff = aReachability.mReachableFraction < 0.5;
  double share = mOptions.mEvenFraction * evenShare;
  if (!isCutOff) {
    const double sum = aAccount.mDemand + aAccount.mPeerDemand;
    share += (1 - mOptions.mEvenFraction) *
             (sum > 0 ? aAccount.mDemand / sum : evenShare);
    share =
      std::min(share, std::max(evenShare, aAccount.mShare * kMaxShareGrowth));
  }
  // Tokens are reduced with the share; otherwise a shift of the share to
  // another instance would add to the burst.
  if (share < aAccount.mShare && aAccount.mShare > 0) {
    aAccount.mShareTokens *= share / aAccount.mShare;
  }
  aAccount.mShare = share;
  // A surge at this instance likely occurs at the others as well and is not
  // reported yet.
  const double unreported = aAccount.mPeerDemand * aAccount.mSurgeFactor *
                            ToSeconds(mOptions.mReportAge);
  const double availableTokens = aAccount.mTokens - unreported;
  if (isCutOff || availableTokens <= 0) {
    aAccount.mAllowance = 0;
    return;
  }
  const double window =
    aAccount.mRate * ToSeconds(mOptions.mWindow) + aAccount.mBurst;
  const double tolerance = (mOptions.mOverage * window + mOptions.mSlack) *
                           kUsedToleranceFraction * evenShare;
  aAccount.mAllowance =
    std::max(kMinAllowance,
             kAllowanceFactor * availableTokens * share + tolerance) *
    aReachability.mReachableFraction;
}

WorkspaceQuota::Reachability WorkspaceQuota::ComputeReachability(
  const InstanceTable& aInstances,
  TimePoint aNow)
{
  Reachability out;
  out.mKnownCount = aInstances.CountKnown() + 1;
  size_t reachable = 1;
  for (const auto& [name, peer] : aInstances.All()) {
    reachable += aInstances.IsFresh(peer, aNow) ? 1 : 0;
  }
  out.mReachableFraction = double(reachable) / double(out.mKnownCount);
  return out;
}

std::vector<WorkspaceUse> WorkspaceQuota::BeginInterval(
  const InstanceTable& aInstances,
  TimePoint aNow)
{
  const Reachability reachability = ComputeReachability(aInstances, aNow);
  mKnownInstances = reachability.mKnownCount;
  const double seconds = mIntervalStartedAt == TimePoint{}
                           ? 0
                           : ToSeconds(aNow - mIntervalStartedAt);
  mIntervalStartedAt = aNow;
  std::erase_if(mReporters, [&](const auto& aEntry) {
    return !aInstances.All().contains(aEntry.first);
  });
  std::vector<WorkspaceUse> out;
  for (auto& [name, account] : mAccounts) {
    account.Refill(aNow);
    UpdateDemand(account, seconds);
    account.mPeerDemand = SumPeerDemand(name, aInstances, aNow);
    UpdateShare(account, reachability);
    account.mIdleReports = account.mArrived > 0 ? 0 : account.mIdleReports + 1;
    account.mArrived = 0;
    if (account.mIdleReports <= kRepeatedReports ||
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
    std::max(ToSeconds(aNow - mIntervalStartedAt), kMinSurgeSeconds);
  if (account.mArrived >= kMinSurgeArrivals && mOnSurge &&
      account.mArrived > kMinSurgeFactor * (expected + 1) &&
      account.mDemand < account.mRate) {
    mOnSurge();
  }
  if (account.mAllowance >= 1 && account.mTokens >= 1) {
    account.mAllowance -= 1;
  } else if (account.mShareTokens >= 1) {
    account.mShareTokens -= 1;
  } else {
    return false;
  }
  account.mTokens -= 1;
  ++account.mAdmitted;
  return true;
}

void WorkspaceQuota::Refund(const WorkspaceName& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end()) {
    it->second.mTokens += 1;
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
                account.mTokens,
                account.mShare,
                account.mDemand,
                account.mPeerDemand,
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
                    { "level", account.mTokens },
                    { "share", account.mShare },
                    { "demand", account.mDemand },
                    { "demand_of_others", account.mPeerDemand },
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
    return kMaxRetryAfter;
  }
  return std::min(kMaxRetryAfter,
                  FromSeconds(std::max(0.0, 1 - account.mShareTokens) / rate));
}

} // namespace pollenway
