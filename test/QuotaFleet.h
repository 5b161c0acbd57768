#pragma once

#include "GatewaySamples.h"
#include "InstanceTable.h"
#include "Random.h"
#include "WorkspaceQuota.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace pollenway {

/// Instances in three zones that share one workspace's rate and report to each
/// other with a delay, on a simulated clock. In a large fleet, remote zones
/// receive only every second report, as in the gateway.
class QuotaFleet
{
public:
  static constexpr double kStep = 0.01;

  QuotaFleet(size_t aCount, double aRate, double aBurst, uint64_t aSeed)
    : mRandom(aSeed)
  {
    mGrant.mName = WorkspaceName("w");
    mGrant.mRate = aRate;
    mGrant.mBurst = aBurst;
    for (size_t n = 0; n < aCount; ++n) {
      auto instance = std::make_unique<Instance>(n, true);
      instance->mQuota.SetWorkspaces({ mGrant }, Now());
      // The instances report at different times.
      instance->mNextReport = mTime + mRandom.Uniform() * kInterval;
      mInstances.push_back(std::move(instance));
    }
    Run(2, 0);
  }

  /// Simulates callers that send `aDemand` requests per second, spread over the
  /// instances.
  void Run(double aSeconds, double aDemand)
  {
    for (double end = mTime + aSeconds; mTime < end; mTime += kStep) {
      Report();
      for (double n = aDemand * kStep + mPendingRequests;
           (mPendingRequests = n) >= 1;
           n -= 1) {
        Request();
      }
    }
  }

  void SetRate(double aRate, double aBurst)
  {
    mGrant.mRate = aRate;
    mGrant.mBurst = aBurst;
    for (const auto& it : mInstances) {
      it->mQuota.SetWorkspaces({ mGrant }, Now());
    }
  }

  void SetCutOff(size_t aInstance, bool aIsCutOff)
  {
    mInstances[aInstance]->mIsCutOff = aIsCutOff;
  }

  void Restart(size_t aInstance)
  {
    mInstances[aInstance] = std::make_unique<Instance>(aInstance, false);
    mInstances[aInstance]->mIncarnation = ++mLastIncarnation;
    mInstances[aInstance]->mQuota.SetWorkspaces({ mGrant }, Now());
  }

  /// Returns the maximum number of requests admitted in any window of this
  /// length.
  size_t MaxInWindow(double aSeconds) const
  {
    size_t maxCount = 0;
    std::deque<double> window;
    for (const double it : mAdmitted) {
      window.push_back(it);
      while (window.front() <= it - aSeconds) {
        window.pop_front();
      }
      maxCount = std::max(maxCount, window.size());
    }
    return maxCount;
  }

  void ResetCounts()
  {
    mAdmitted.clear();
    mRefused = 0;
  }
  size_t Admitted() const { return mAdmitted.size(); }
  size_t Refused() const { return mRefused; }

private:
  static constexpr double kInterval = 0.5;
  /// One-way latency between regions, in seconds.
  static constexpr double kDelay = 0.06;

  struct Instance
  {
    Instance(size_t aIndex, bool aIsFirstStart)
      : mName("i" + std::to_string(aIndex))
      , mZone("z" + std::to_string(aIndex % 3))
      , mTable(mName, mZone)
      , mQuota({}, aIsFirstStart)
    {
      mQuota.OnSurge([this] {
        mNextReport = 0;
        mIsUrgent = true;
      });
    }

    InstanceName mName;
    ZoneName mZone;
    InstanceTable mTable;
    WorkspaceQuota mQuota;
    uint64_t mIncarnation = 1;
    uint64_t mSequence = 0;
    double mNextReport = 0;
    double mLastReport = 0;
    bool mIsCutOff = false;
    bool mIsUrgent = false;
    bool mNextIncludesRemote = true;
  };
  struct Message
  {
    double mAt;
    size_t mFrom;
    bool mIncludesRemote;
    InstanceSummary mSummary;
  };

  TimePoint Now() const { return sample::At(mTime); }

  void Report()
  {
    for (size_t n = 0; n < mInstances.size(); ++n) {
      auto& it = *mInstances[n];
      if (mTime < it.mNextReport || mTime < it.mLastReport + 0.12) {
        continue;
      }
      it.mLastReport = mTime;
      it.mNextReport = mTime + kInterval;
      InstanceSummary summary;
      summary.mName = it.mName;
      summary.mZone = it.mZone;
      summary.mIncarnation = it.mIncarnation;
      summary.mSequence = ++it.mSequence;
      summary.mWorkspaceUses = it.mQuota.BeginInterval(it.mTable, Now());
      if (!it.mIsCutOff) {
        mMessages.push_back({ mTime + kDelay,
                              n,
                              it.mIsUrgent || it.mNextIncludesRemote,
                              std::move(summary) });
      }
      it.mNextIncludesRemote = !it.mIsUrgent && !it.mNextIncludesRemote;
      it.mIsUrgent = false;
    }
    while (!mMessages.empty() && mMessages.front().mAt <= mTime) {
      Deliver(mMessages.front());
      mMessages.pop_front();
    }
  }

  void Deliver(const Message& aMessage)
  {
    for (size_t n = 0; n < mInstances.size(); ++n) {
      auto& it = *mInstances[n];
      const bool isRemote =
        mInstances.size() > InstanceTable::kReducedRateThreshold &&
        it.mZone != mInstances[aMessage.mFrom]->mZone;
      if (n != aMessage.mFrom && !it.mIsCutOff &&
          (aMessage.mIncludesRemote || !isRemote) &&
          it.mTable.OnSummary(aMessage.mSummary, Now())) {
        it.mQuota.OnReport(aMessage.mSummary.mName,
                           aMessage.mSummary.mIncarnation,
                           aMessage.mSummary.mWorkspaceUses,
                           Now());
      }
    }
  }

  void Request()
  {
    auto& it = *mInstances[mRandom.Below(mInstances.size())];
    if (it.mQuota.Admit(mGrant.mName, Now())) {
      mAdmitted.push_back(mTime);
    } else {
      ++mRefused;
    }
  }

  Random mRandom;
  WorkspaceGrant mGrant;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::deque<Message> mMessages;
  std::vector<double> mAdmitted;
  size_t mRefused = 0;
  uint64_t mLastIncarnation = 1;
  double mTime = 0;
  double mPendingRequests = 0;
};

} // namespace pollenway
