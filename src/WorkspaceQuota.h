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

/// Enforces the rates of workspaces over all instances without asking any of
/// them for a request.
///
/// Each instance keeps its own view of one bucket for each workspace, from its
/// own admissions and those that the others report. While the view shows
/// tokens, requests are admitted from it, a bounded number between two
/// reports. Once it is empty, each instance admits its share of the rate,
/// which follows the demand that the instances report. What was admitted too
/// much meanwhile leaves the view negative and is made up for.
///
/// An instance that is cut off from most others uses a small even share only.
class WorkspaceQuota
{
public:
  struct Options
  {
    /// Part of a rate that is divided evenly; the rest follows the demand.
    double mEvenFraction = 0.25;
    /// Demand is averaged over about this time.
    Duration mDemandWindow = std::chrono::milliseconds(1500);
    /// Mean age of the other instances' reports.
    Duration mReportAge = std::chrono::milliseconds(350);
    /// Length of the windows in which the operators count requests.
    Duration mWindow = std::chrono::seconds(5);
    /// Tolerance in a window: a share of rate and burst, and a number.
    double mOverage = 0.1;
    double mSlack = 20;
  };

  WorkspaceQuota(Options aOptions, bool aFirstStart);

  /// Takes the workspaces of a new routing table. A lower rate counts at once.
  void SetWorkspaces(const std::vector<WorkspaceGrant>& aWorkspaces,
                     TimePoint aNow);
  /// Another instance has reported. Reports of one run must come in order.
  void OnReport(const InstanceName& aInstance,
                uint64_t aIncarnation,
                const std::vector<WorkspaceUse>& aUses,
                TimePoint aNow);
  /// Begins the time until the next report: divides the rates anew and returns
  /// what is to be reported.
  std::vector<WorkspaceUse> BeginInterval(const InstanceTable& aInstances,
                                          TimePoint aNow);
  /// Called when many more requests come than the last reports let expect, so
  /// that the others can be told at once.
  void OnSurge(std::function<void()> aCallback)
  {
    mOnSurge = std::move(aCallback);
  }
  /// A request of the workspace came; true if it may run.
  bool Admit(const WorkspaceName& aWorkspace, TimePoint aNow);
  /// A request that was admitted has not run after all.
  void Return(const WorkspaceName& aWorkspace);
  /// Time until the next request of the workspace is likely to be admitted.
  Duration TimeUntilAdmitted(const WorkspaceName& aWorkspace) const;

  /// What the last refusal of a workspace was decided by, for the log.
  std::string Explain(const WorkspaceName& aWorkspace) const;
  /// One entry for each workspace with a rate, for the state dump.
  nlohmann::json State() const;

private:
  struct Account
  {
    double mRate = 0;
    double mBurst = 0;
    /// View of the bucket that all instances share; may be negative.
    double mTokens = 0;
    /// This instance's part of the rate, in tokens, for when it is empty.
    double mShare = 0;
    double mShareTokens = 0;
    TimePoint mRefilledAt{};
    /// Admissions from the view until the next report.
    double mAllowance = 0;
    double mDemand = 0;
    /// Arrivals of the last interval as a multiple of the expected ones; 1
    /// unless they were many more.
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
  /// How well the other instances are heard.
  struct Reachability
  {
    size_t mKnownCount = 1;
    /// Part of the known instances that were heard a moment ago.
    double mReachableFraction = 1;
  };

  static Reachability ComputeReachability(const InstanceTable& aInstances,
                                          TimePoint aNow);
  void UpdateShare(Account& aAccount, const Reachability& aReachability) const;
  double SumPeerDemand(const WorkspaceName& aWorkspace,
                       const InstanceTable& aInstances,
                       TimePoint aNow) const;

  Options mOptions;
  bool mStartFull;
  size_t mKnownInstances = 1;
  TimePoint mIntervalStartedAt{};
  std::map<WorkspaceName, Account> mAccounts;
  std::map<InstanceName, Reporter> mReporters;
  std::function<void()> mOnSurge;
};

} // namespace pollenway
