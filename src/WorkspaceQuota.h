#pragma once

#include "Ids.h"
#include "InstanceTable.h"
#include "Time.h"
#include "WorkspaceGrant.h"
#include "WorkspaceUse.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <vector>

namespace pollenway {

/// Enforces the rates of workspaces across all instances without a message to
/// another instance for each request.
///
/// Each instance keeps its own view of one token bucket for each workspace,
/// from its own admissions and those that the others report. While the view has
/// tokens, requests are admitted from it, up to a bounded number between two
/// reports. Once it is empty, each instance admits its share of the rate, which
/// follows the demand that the instances report. Excess admissions make the
/// view negative and are compensated by a reduced rate.
///
/// An instance that is cut off from most others uses only a small even share.
class WorkspaceQuota
{
public:
  struct Options
  {
    /// Fraction of a rate that is divided evenly; the rest follows the demand.
    double mEvenFraction = 0.25;
    /// Approximate time over which demand is averaged.
    Duration mDemandWindow = std::chrono::milliseconds(1500);
    /// Mean age of the other instances' reports.
    Duration mReportAge = std::chrono::milliseconds(350);
    /// Length of the windows in which the operators count requests.
    Duration mWindow = std::chrono::seconds(5);
    /// Tolerance in a window: a fraction of rate and burst, plus a number of
    /// requests.
    double mOverage = 0.1;
    double mSlack = 20;
  };

  WorkspaceQuota(Options aOptions, bool aIsFirstStart);

  /// Applies the workspaces of a new routing table. A lower rate takes effect
  /// at once.
  void SetWorkspaces(const std::vector<WorkspaceGrant>& aWorkspaces,
                     TimePoint aNow);
  /// Called when a report of another instance was received. Reports of one
  /// incarnation must be passed in order.
  void OnReport(const InstanceName& aInstance,
                uint64_t aIncarnation,
                const std::vector<WorkspaceUse>& aUses,
                TimePoint aNow);
  /// Starts the interval until the next report: updates the shares of the rates
  /// and returns the uses to report.
  std::vector<WorkspaceUse> BeginInterval(const InstanceTable& aInstances,
                                          TimePoint aNow);
  /// Sets the callback for a surge: many more requests arrived than the last
  /// reports suggested. The callback should report to the other instances at
  /// once.
  void OnSurge(std::function<void()> aCallback)
  {
    mOnSurge = std::move(aCallback);
  }
  /// Called when a request of the workspace was received. Returns true if it
  /// may run.
  bool Admit(const WorkspaceName& aWorkspace, TimePoint aNow);
  /// Refunds the token of an admitted request that was not run.
  void Refund(const WorkspaceName& aWorkspace);
  /// Returns the time until the next request of the workspace is likely to be
  /// admitted.
  Duration TimeUntilAdmitted(const WorkspaceName& aWorkspace) const;

  /// Returns the values that decide on a workspace's admissions, for the log of
  /// a refusal.
  std::string Explain(const WorkspaceName& aWorkspace) const;
  /// Returns an entry for each workspace with a rate, for the state dump.
  nlohmann::json State() const;

private:
  struct Account
  {
    double mRate = 0;
    double mBurst = 0;
    /// This instance's view of the tokens in the bucket that all instances
    /// share; may be negative.
    double mTokens = 0;
    /// This instance's share of the rate and the tokens of that share, used
    /// when the view is empty.
    double mShare = 0;
    double mShareTokens = 0;
    TimePoint mRefilledAt{};
    /// Remaining admissions from the view until the next report.
    double mAllowance = 0;
    double mDemand = 0;
    /// Arrivals of the last interval as a multiple of the expected ones; 1
    /// unless there was a surge.
    double mSurgeFactor = 1;
    double mPeerDemand = 0;
    unsigned mArrived = 0;
    int64_t mAdmitted = 0;
    unsigned mIdleReports = 0;

    void Refill(TimePoint aNow);
  };
  struct Reporter
  {
    uint64_t mIncarnation = 0;
    std::map<WorkspaceName, WorkspaceUse> mUses;
  };

  void UpdateDemand(Account& aAccount, double aSeconds) const;
  /// Connectivity of this instance to the other instances.
  struct Reachability
  {
    size_t mKnownCount = 1;
    /// Fraction of the known instances, including this one, from which a
    /// message was received recently.
    double mReachableFraction = 1;
  };

  static Reachability ComputeReachability(const InstanceTable& aInstances,
                                          TimePoint aNow);
  void UpdateShare(Account& aAccount, const Reachability& aReachability) const;
  double SumPeerDemand(const WorkspaceName& aWorkspace,
                       const InstanceTable& aInstances,
                       TimePoint aNow) const;

  Options mOptions;
  bool mIsFirstStart;
  size_t mKnownInstances = 1;
  TimePoint mIntervalStartedAt{};
  std::map<WorkspaceName, Account> mAccounts;
  std::map<InstanceName, Reporter> mReporters;
  std::function<void()> mOnSurge;
};

} // namespace pollenway
