#pragma once

#include "Ids.h"
#include "InstanceTable.h"
#include "Time.h"
#include "WorkspaceGrant.h"

#include <map>
#include <vector>

namespace pollenway {

/// Enforces the rates of workspaces over all instances without asking any of
/// them for a request: each instance has a share of each rate and burst. A
/// part of the rate is divided evenly over all known instances; the rest
/// follows the demand that instances report. An instance that is cut off from
/// most others uses its even part only, and those that don't hear from it
/// leave that part to it.
class WorkspaceQuota
{
public:
  struct Options
  {
    /// Part of a rate that is divided evenly.
    double mEvenPart = 0.25;
    /// Part of the rate and burst that is given out. Views of the demand
    /// differ between instances for about a second.
    double mUsedPart = 1.0;
    /// Demand is averaged over about this time.
    Duration mDemandWindow = std::chrono::milliseconds(1500);
  };

  WorkspaceQuota(Options aOptions, bool aFirstStart);

  /// Takes the workspaces of a new routing table. A lower rate counts at once.
  void SetWorkspaces(const std::vector<WorkspaceGrant>& aWorkspaces,
                     TimePoint aNow);
  /// Divides the rates anew by the summaries of other instances.
  void Rebalance(const InstanceTable& aInstances, TimePoint aNow);
  /// A request of the workspace came; true if it may run.
  bool Admit(const WorkspaceName& aWorkspace, TimePoint aNow);
  /// A request that was admitted has not run after all.
  void Return(const WorkspaceName& aWorkspace);
  /// Time until the next request of the workspace is likely to be admitted.
  Duration TimeUntilAdmitted(const WorkspaceName& aWorkspace) const;
  /// Demand at this instance for its summary.
  std::vector<WorkspaceDemand> Demands(TimePoint aNow);

private:
  struct Account
  {
    double mRate = 0;
    double mBurst = 0;
    double mShare = 0;
    double mTokens = 0;
    TimePoint mRefilledAt{};
    double mDemand = 0;
    unsigned mArrived = 0;
    TimePoint mDemandAt{};

    void Refill(TimePoint aNow);
  };

  void UpdateDemand(Account& aAccount, TimePoint aNow) const;
  void SetShare(Account& aAccount, double aShare, TimePoint aNow) const;

  Options mOptions;
  bool mStartFull;
  size_t mKnownInstances = 1;
  std::map<WorkspaceName, Account> mAccounts;
};

} // namespace pollenway
