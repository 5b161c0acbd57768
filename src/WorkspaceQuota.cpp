#include "WorkspaceQuota.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

/// Demand is measured over at least this time.
constexpr double kShortestDemandSeconds = 0.2;
/// Retry hint for a workspace without a usable share.
constexpr Duration kLongestRetryHint = std::chrono::seconds(2);

} // namespace

void WorkspaceQuota::Account::Refill(TimePoint aNow)
{
  if (aNow <= mRefilledAt) {
    return;
  }
  const double seconds = ToSeconds(aNow - mRefilledAt);
  // One token of depth lets an instance with a small share admit at all.
  const double depth = std::max(1.0, mBurst * mShare);
  mTokens = std::min(depth, mTokens + mRate * mShare * seconds);
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
    Account account = known == mAccounts.end() ? Account() : known->second;
    if (known == mAccounts.end()) {
      account.mShare = 1.0 / double(mKnownInstances);
      account.mRefilledAt = aNow;
      account.mDemandAt = aNow;
    }
    account.Refill(aNow);
    account.mRate = it.mRate;
    account.mBurst = it.mBurst;
    const double depth = account.mBurst * account.mShare;
    if (known == mAccounts.end() && mStartFull) {
      account.mTokens = depth;
    }
    account.mTokens = std::min(account.mTokens, std::max(1.0, depth));
    accounts.emplace(it.mName, account);
  }
  mAccounts = std::move(accounts);
}

void WorkspaceQuota::Rebalance(const InstanceTable& aInstances, TimePoint aNow)
{
  const auto live = aInstances.Live(aNow);
  const size_t known = aInstances.CountKnown() + 1;
  mKnownInstances = known;
  const bool isCutOff = live.size() + 1 < (known + 1) / 2;
  for (auto& [name, account] : mAccounts) {
    UpdateDemand(account, aNow);
    const double even = 1.0 / double(known);
    if (isCutOff) {
      SetShare(account, mOptions.mEvenPart * even, aNow);
      continue;
    }
    double others = 0;
    for (const auto* it : live) {
      for (const auto& demand : it->mSummary.mDemands) {
        others += demand.mWorkspace == name ? demand.mRate : 0;
      }
    }
    const double sum = account.mDemand + others;
    const double byDemand =
      sum > 0 ? account.mDemand / sum : 1.0 / double(live.size() + 1);
    // The even part counts silent instances too: they may only be cut off.
    SetShare(account,
             mOptions.mEvenPart * even + (1 - mOptions.mEvenPart) * byDemand,
             aNow);
  }
}

void WorkspaceQuota::SetShare(Account& aAccount,
                              double aShare,
                              TimePoint aNow) const
{
  aAccount.Refill(aNow);
  const double share = aShare * mOptions.mUsedPart;
  // Tokens move with the share, or a move would create or destroy burst.
  if (share < aAccount.mShare && aAccount.mShare > 0) {
    aAccount.mTokens *= share / aAccount.mShare;
  }
  aAccount.mShare = share;
}

void WorkspaceQuota::UpdateDemand(Account& aAccount, TimePoint aNow) const
{
  const double seconds = ToSeconds(aNow - aAccount.mDemandAt);
  if (seconds < kShortestDemandSeconds) {
    return;
  }
  const double kept = std::exp(-seconds / ToSeconds(mOptions.mDemandWindow));
  aAccount.mDemand =
    aAccount.mDemand * kept + aAccount.mArrived / seconds * (1 - kept);
  aAccount.mArrived = 0;
  aAccount.mDemandAt = aNow;
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
  if (account.mTokens < 1) {
    return false;
  }
  account.mTokens -= 1;
  return true;
}

void WorkspaceQuota::Return(const WorkspaceName& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end()) {
    it->second.mTokens += 1;
  }
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
                  FromSeconds(std::max(0.0, 1 - account.mTokens) / rate));
}

std::vector<WorkspaceDemand> WorkspaceQuota::Demands(TimePoint aNow)
{
  std::vector<WorkspaceDemand> out;
  for (auto& [name, account] : mAccounts) {
    UpdateDemand(account, aNow);
    // Below this an instance's even part is enough.
    if (account.mDemand > 0.05) {
      out.push_back({ name, account.mDemand });
    }
  }
  return out;
}

} // namespace pollenway
