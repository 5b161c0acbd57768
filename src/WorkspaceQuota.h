#pragma once

#include "Ids.h"
#include "InstanceTable.h"
#include "Random.h"
#include "RemoteZones.h"
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
/// from its own admissions and those that the others report: instances of its
/// zone one by one, and the other zones as sums. While the view has tokens,
/// requests are admitted from it, up to a bounded number between two reports.
/// Once it is empty, each instance admits the same fraction of the requests
/// that it receives: the rate divided by the demand of all instances. So a
/// small workspace gets its rate although each of many instances receives few
/// of its requests. Excess admissions make the view negative and reduce the
/// fraction.
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
    /// Mean age of the reports of the zone's other instances.
    Duration mReportAge = std::chrono::milliseconds(350);
    /// Length of the windows in which the operators count requests.
    Duration mWindow = std::chrono::seconds(5);
    /// Tolerance in a window: a fraction of rate and burst, plus a number of
    /// requests.
    double mOverage = 0.1;
    double mSlack = 20;
    uint64_t mSeed = 1;
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
  /// Counts the requests that instances of other zones have admitted.
  void OnOtherZones(const std::vector<AdmittedIncrease>& aIncreases,
                    TimePoint aNow);
  /// Starts the interval until the next report: updates the shares of the rates
  /// and returns the uses to report.
  std::vector<WorkspaceUse> BeginInterval(const InstanceTable& aInstances,
                                          const RemoteZones& aRemoteZones,
                                          TimePoint aNow);
  /// Returns the sums over the instances of the own zone: the demand at the
  /// last `BeginInterval`, and the requests admitted that this instance knows
  /// of.
  std::vector<WorkspaceUse> ZoneUses();
  /// Sets the callback for a surge: many more requests arrived than the last
  /// reports suggested. The callback should report to the other instances at
  /// once.
  void OnSurge(std::function<void()> aCallback)
  {
    mOnSurge = std::move(aCallback);
  }
  /// Sets the callback for a surge in the zone: many more requests were
  /// admitted there since the last `ZoneUses` than the zone's part of the rate.
  /// If this instance is a delegate, it should report to the other zones at
  /// once.
  void OnZoneSurge(std::function<void()> aCallback)
  {
    mOnZoneSurge = std::move(aCallback);
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
    /// This instance's share of the rate and the tokens of that share, which
    /// limit what is admitted when the view is empty.
    double mShare = 0;
    double mShareTokens = 0;
    /// Share by which the tokens are refilled.
    double mRefillShare = 0;
    /// Sum of the fractions since the last admission by fraction.
    double mAcceptanceCredit = 0;
    TimePoint mRefilledAt{};
    /// Remaining admissions from the view until the next report.
    double mAllowance = 0;
    double mDemand = 0;
    /// Arrivals of the last interval as a multiple of the expected ones; 1
    /// unless there was a surge.
    double mSurgeFactor = 1;
    /// Demand at the other instances of the zone, and at all other instances.
    double mZonePeerDemand = 0;
    double mPeerDemand = 0;
    unsigned mArrived = 0;
    int64_t mAdmitted = 0;
    double mReachableFraction = 1;
    /// Estimated admissions in zones whose digests are overdue.
    double mOverdue = 0;
    /// Requests admitted by the other instances of the zone.
    int64_t mZonePeersAdmitted = 0;
    /// Requests admitted in the zone up to the last `ZoneUses`.
    int64_t mReportedForZone = 0;
    unsigned mIdleReports = 0;

    void Refill(TimePoint aNow);
    /// Returns the multiple of the rate that is admitted by fraction: less than
    /// 1 in debt, and slightly more while tokens are left.
    double RateFactor() const;
    /// Returns the fraction of the requests that all instances admit when the
    /// view is empty.
    double Acceptance() const;
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
    /// Mean age of what is known of the other instances' admissions.
    double mReportAgeSeconds = 0;
    /// Length of the interval that ends.
    double mIntervalSeconds = 0;
    /// Mean time by which the digests of other zones are overdue.
    double mOverdueSeconds = 0;
  };

  Reachability ComputeReachability(const InstanceTable& aInstances,
                                   const RemoteZones& aRemoteZones,
                                   TimePoint aNow) const;
  void UpdateShare(Account& aAccount, const Reachability& aReachability);
  /// Returns the number of requests by which the operators let a workspace
  /// exceed its rate and burst in a window.
  double Tolerance(const Account& aAccount) const;
  void CheckZoneSurge(const Account& aAccount) const;
  static void UpdateOverdue(Account& aAccount,
                            const Reachability& aReachability);
  /// Updates the demand at the other instances.
  void UpdatePeerDemand(const InstanceTable& aInstances,
                        const RemoteZones& aRemoteZones,
                        TimePoint aNow);

  Options mOptions;
  bool mIsFirstStart;
  Random mRandom;
  size_t mKnownInstances;
  TimePoint mStartedAt{};
  TimePoint mIntervalStartedAt{};
  std::map<WorkspaceName, Account> mAccounts;
  std::map<InstanceName, Reporter> mReporters;
  /// Mean age of what is known of the other instances' admissions.
  double mReportAgeSeconds = 0;
  /// Part of the known instances that are in this zone.
  double mZoneFraction = 1;
  std::function<void()> mOnSurge;
  std::function<void()> mOnZoneSurge;
};

} // namespace pollenway
