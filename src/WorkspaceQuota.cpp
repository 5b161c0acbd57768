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
/// Maximum factor of the rate by which tokens that are left in the view raise
/// the fraction.
constexpr double kMaxRateFactor = 1.2;
/// Maximum sum of fractions that is kept while the share's tokens are used up.
constexpr double kMaxAcceptanceCredit = 2;
/// An instance may admit a few requests that arrive there by chance while the
/// view has this multiple of them for each instance.
constexpr double kMaxChanceAllowance = 4;
constexpr double kChanceAllowanceFactor = 5;
/// A workspace is small while what is not reported yet is below this fraction
/// of the tolerance. Its callers may all be at a few of many instances.
constexpr double kSmallUseFraction = 0.25;
/// Minimum number of requests that all instances together may admit between two
/// reports while the view has tokens.
constexpr double kMinTotalAllowance = 36;
/// Maximum growth factor of a share in a report interval. An instance that is
/// being cut off sees its own demand rise but not that of the others.
constexpr double kMaxShareGrowth = 1.3;
/// Multiple of the tokens in the view that all instances together may admit
/// between two reports. It exceeds 1 because the requests of an interval don't
/// arrive in proportion to the demand.
constexpr double kAllowanceFactor = 1.2;
/// An instance's share accumulates tokens for this time only, as the burst is
/// already in the view.
constexpr double kShareDepthSeconds = 0.25;
/// Minimum depth: one whole token plus the refill until the next request takes
/// it./// Minimum depth: a few requests that arrive together at one of many
/// instances.
constexpr double kMinShareDepth = 3;
/// Minimum number of arrivals, and their minimum multiple of the expected
/// number, for a surge. Fewer can be chance.
constexpr unsigned kMinSurgeArrivals = 8;
constexpr double kMinSurgeFactor = 2.5;
constexpr double kMaxSurgeFactor = 20;
constexpr double kMinSurgeSeconds = 0.1;
/// Length of an interval from which on the process was paused.
constexpr Duration kMaxIntervalTime = std::chrono::milliseconds(1500);
/// Mean age of the other zones' digests from which on reports are overdue.
constexpr double kMaxDigestAgeSeconds = 0.75;
/// After a restart, other instances are not known at first; this number of them
/// is assumed for this time.
constexpr Duration kDiscoveryTime = std::chrono::seconds(1);
constexpr size_t kAssumedInstances = 16;
/// Admissions of the zone that other zones don't know of yet are a surge if
/// they exceed this fraction of the tolerance plus the zone's part of the rate
/// in one report interval.
constexpr double kSurgeToleranceFraction = 0.1;
constexpr double kReportSeconds = 0.5;
/// Debt, in seconds of the rate, at which nothing more is admitted by fraction.
/// Below it, the fraction is reduced in proportion, so that excess admissions
/// are compensated within the window in which the operators count.
constexpr double kFullDebtSeconds = 1;
/// Debt beyond this many seconds of the rate is discarded.
constexpr double kMaxDebtSeconds = 3;
/// Smallest demand that is reported, in requests per second.
constexpr double kMinDemand = 0.05;
/// Number of reports on a workspace after its last change, in case some are
/// lost.
constexpr unsigned kRepeatedReports = 3;

} // namespace

double WorkspaceQuota::Account::RateFactor() const
{
  return mRate > 0
           ? std::clamp(1 + (mTokens - mOverdue) / (mRate * kFullDebtSeconds),
                        0.0,
                        kMaxRateFactor)
           : 1;
}

double WorkspaceQuota::Account::Acceptance() const
{
  const double demand = mDemand + mPeerDemand;
  const double rate = mRate * RateFactor() * mReachableFraction;
  return demand > rate ? rate / demand : 1;
}

void WorkspaceQuota::Account::Refill(TimePoint aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  const double seconds = ToSeconds(aNow - mRefilledAt);
  mTokens = std::min(mBurst, mTokens + mRate * seconds);
  mTokens = std::max(mTokens, -mRate * kMaxDebtSeconds);
  const double rate = mRate * mRefillShare * RateFactor();
  const double depth = std::max(kMinShareDepth, rate * kShareDepthSeconds);
  mShareTokens = std::min(depth, mShareTokens + rate * seconds);
  mRefilledAt = aNow;
}

WorkspaceQuota::WorkspaceQuota(Options aOptions, bool aIsFirstStart)
  : mOptions(aOptions)
  , mIsFirstStart(aIsFirstStart)
  , mRandom(aOptions.mSeed)
  , mKnownInstances(aIsFirstStart ? 1 : kAssumedInstances)
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
      account.mRefillShare = account.mShare;
      account.mShareTokens = mIsFirstStart ? 1 : 0;
      account.mRefilledAt = aNow;
      account.mTokens = mIsFirstStart ? it.mBurst : 0;
      // The instances don't all admit their first request at the same time.
      account.mAcceptanceCredit = mRandom.Uniform();
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
      account->second.mZonePeersAdmitted += it.mAdmitted - before;
      CheckZoneSurge(account->second);
    }
  }
}

void WorkspaceQuota::OnOtherZones(
  const std::vector<AdmittedIncrease>& aIncreases,
  TimePoint aNow)
{
  for (const auto& it : aIncreases) {
    const auto account = mAccounts.find(it.mWorkspace);
    if (account != mAccounts.end()) {
      account->second.Refill(aNow);
      account->second.mTokens -= double(it.mCount);
    }
  }
}

double WorkspaceQuota::Tolerance(const Account& aAccount) const
{
  const double window =
    aAccount.mRate * ToSeconds(mOptions.mWindow) + aAccount.mBurst;
  return mOptions.mOverage * window + mOptions.mSlack;
}

void WorkspaceQuota::CheckZoneSurge(const Account& aAccount) const
{
  const double threshold = kSurgeToleranceFraction * Tolerance(aAccount) +
                           aAccount.mRate * kReportSeconds * mZoneFraction;
  const int64_t unreported = aAccount.mAdmitted + aAccount.mZonePeersAdmitted -
                             aAccount.mReportedForZone;
  if (mOnZoneSurge && double(unreported) > threshold) {
    mOnZoneSurge();
  }
}

std::vector<WorkspaceUse> WorkspaceQuota::ZoneUses()
{
  std::vector<WorkspaceUse> out;
  for (auto& [name, account] : mAccounts) {
    account.mReportedForZone = account.mAdmitted + account.mZonePeersAdmitted;
    out.push_back({ name,
                    account.mDemand + account.mZonePeerDemand,
                    account.mAdmitted + account.mZonePeersAdmitted });
  }
  return out;
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

void WorkspaceQuota::UpdatePeerDemand(const InstanceTable& aInstances,
                                      const RemoteZones& aRemoteZones,
                                      TimePoint aNow)
{
  for (auto& [name, account] : mAccounts) {
    account.mZonePeerDemand = 0;
    account.mPeerDemand = aRemoteZones.Demand(name);
  }
  for (const auto* peer : aInstances.Live(aNow)) {
    const auto reporter = mReporters.find(peer->mSummary.mName);
    if (reporter == mReporters.end()) {
      continue;
    }
    for (const auto& [name, use] : reporter->second.mUses) {
      const auto account = mAccounts.find(name);
      if (account != mAccounts.end()) {
        account->second.mZonePeerDemand += use.mDemand;
        account->second.mPeerDemand += use.mDemand;
      }
    }
  }
}

void WorkspaceQuota::UpdateShare(Account& aAccount,
                                 const Reachability& aReachability)
{
  const double evenShare = 1.0 / double(aReachability.mKnownCount);
  const bool isCutOff = aReachability.mReachableFraction < 0.5;
  double share = mOptions.mEvenFraction * evenShare;
  if (!isCutOff) {
    const double sum = aAccount.mDemand + aAccount.mPeerDemand;
    share += (1 - mOptions.mEvenFraction) *
             (sum > 0 ? aAccount.mDemand / sum : evenShare);
    const double growth = std::pow(
      kMaxShareGrowth, aReachability.mIntervalSeconds / kReportSeconds);
    share = std::min(share, std::max(evenShare, aAccount.mShare * growth));
  }
  // An instance that is cut off must not use tokens of a larger share.
  if (isCutOff && share < aAccount.mShare && aAccount.mShare > 0) {
    aAccount.mShareTokens *= share / aAccount.mShare;
  }
  aAccount.mShare = share;
  // Each of many instances receives a request of a small workspace only now and
  // then, and its demand says little. The sum over all instances is limited by
  // the acceptance.
  aAccount.mRefillShare =
    isCutOff ? share
             : std::max(share, evenShare) * aReachability.mReachableFraction;
  // A surge at this instance likely occurs at the others as well and is not
  // reported yet.
  const double unreported = aAccount.mPeerDemand * aAccount.mSurgeFactor *
                            aAccount.Acceptance() *
                            aReachability.mReportAgeSeconds;
  const double availableTokens = aAccount.mTokens - unreported;
  if (isCutOff || availableTokens <= 0) {
    aAccount.mAllowance = 0;
    return;
  }
  const double totalTolerance = Tolerance(aAccount);
  const double tolerance = totalTolerance * kUsedToleranceFraction * evenShare;
  // What others may have admitted from the view at the same time is far within
  // the tolerance.
  const bool isSmall = aAccount.mPeerDemand * aAccount.mSurgeFactor *
                         aReachability.mReportAgeSeconds <=
                       kSmallUseFraction * totalTolerance;
  const double chanceAllowance = std::min(
    kMaxChanceAllowance,
    availableTokens * (isSmall ? 1 : kChanceAllowanceFactor * evenShare));
  const double allowance =
    std::max({ kMinTotalAllowance * evenShare,
               chanceAllowance,
               kAllowanceFactor * availableTokens * share + tolerance }) *
    aReachability.mReachableFraction;
  // Rounds at random, so that the sum over many instances is right although
  // each may admit less than one request.
  aAccount.mAllowance = std::floor(allowance + mRandom.Uniform());
}

void WorkspaceQuota::UpdateOverdue(Account& aAccount,
                                   const Reachability& aReachability)
{
  aAccount.mReachableFraction = aReachability.mReachableFraction;
  aAccount.mOverdue = (aAccount.mPeerDemand - aAccount.mZonePeerDemand) *
                      aAccount.Acceptance() * aReachability.mOverdueSeconds;
}

WorkspaceQuota::Reachability WorkspaceQuota::ComputeReachability(
  const InstanceTable& aInstances,
  const RemoteZones& aRemoteZones,
  TimePoint aNow) const
{
  Reachability out;
  out.mKnownCount = aInstances.CountKnown() + aRemoteZones.CountKnown(aNow) + 1;
  if (!mIsFirstStart && aNow - mStartedAt < kDiscoveryTime) {
    out.mKnownCount = std::max(out.mKnownCount, kAssumedInstances);
  }
  size_t reachable = aRemoteZones.CountReachable(aNow) + 1;
  for (const auto& [name, peer] : aInstances.All()) {
    reachable += aInstances.IsFresh(peer, aNow) ? 1 : 0;
  }
  out.mReachableFraction = double(reachable) / double(out.mKnownCount);
  out.mOverdueSeconds =
    std::max(0.0, ToSeconds(aRemoteZones.MeanAge(aNow)) - kMaxDigestAgeSeconds);
  out.mReportAgeSeconds =
    ToSeconds(mOptions.mReportAge) + ToSeconds(aRemoteZones.MeanAge(aNow)) *
                                       double(aRemoteZones.CountKnown(aNow)) /
                                       double(out.mKnownCount);
  return out;
}

std::vector<WorkspaceUse> WorkspaceQuota::BeginInterval(
  const InstanceTable& aInstances,
  const RemoteZones& aRemoteZones,
  TimePoint aNow)
{
  if (mStartedAt == TimePoint{}) {
    mStartedAt = aNow;
  }
  Reachability reachability =
    ComputeReachability(aInstances, aRemoteZones, aNow);
  mKnownInstances = reachability.mKnownCount;
  mReportAgeSeconds = reachability.mReportAgeSeconds;
  mZoneFraction =
    double(aInstances.CountKnown() + 1) / double(reachability.mKnownCount);
  const double seconds = mIntervalStartedAt == TimePoint{}
                           ? 0
                           : ToSeconds(aNow - mIntervalStartedAt);
  mIntervalStartedAt = aNow;
  reachability.mIntervalSeconds = seconds;
  std::erase_if(mReporters, [&](const auto& aEntry) {
    return !aInstances.All().contains(aEntry.first);
  });
  UpdatePeerDemand(aInstances, aRemoteZones, aNow);
  std::vector<WorkspaceUse> out;
  for (auto& [name, account] : mAccounts) {
    account.Refill(aNow);
    UpdateDemand(account, seconds);
    UpdateOverdue(account, reachability);
    UpdateShare(account, reachability);
    // A value that is not reported any more would stay in the others' sums.
    if (account.mArrived == 0 && account.mDemand < kMinDemand) {
      account.mDemand = 0;
    }
    account.mIdleReports = account.mDemand > 0 ? 0 : account.mIdleReports + 1;
    account.mArrived = 0;
    if (account.mIdleReports <= kRepeatedReports) {
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
  if (aNow - mIntervalStartedAt > kMaxIntervalTime) {
    // This process was paused, and others may have used the tokens.
    account.mAllowance = 0;
    account.mShareTokens = std::min(account.mShareTokens, 1.0);
  }
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
  } else {
    account.mAcceptanceCredit = std::min(
      kMaxAcceptanceCredit, account.mAcceptanceCredit + account.Acceptance());
    if (account.mAcceptanceCredit < 1 || account.mShareTokens < 1) {
      return false;
    }
    account.mAcceptanceCredit -= 1;
    account.mShareTokens -= 1;
  }
  account.mTokens -= 1;
  ++account.mAdmitted;
  CheckZoneSurge(account);
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
  char buf[200];
  std::snprintf(buf,
                sizeof(buf),
                "rate:%.0f,level:%.1f,share:%.3f,demand:%.1f,others:%.1f,"
                "instances:%zu,reachable:%.2f,age:%.2f",
                account.mRate,
                account.mTokens,
                account.mShare,
                account.mDemand,
                account.mPeerDemand,
                mKnownInstances,
                account.mReachableFraction,
                mReportAgeSeconds);
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
