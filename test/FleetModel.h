#pragma once

#include "SteeringFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <set>

/// Model for the steering tests: a fleet of six zones in three regions whose
/// instances decide look-ups for callers with known demand, under faults.
namespace pollenway::fleet_model {

constexpr Duration kStep = std::chrono::milliseconds(500);
constexpr size_t kPerZone = 3;
constexpr size_t kZones = 6;
constexpr size_t kBlocks = 1500;
constexpr double kRegionCapacity = 600;

inline size_t NumberFromEnvironment(const char* aName, size_t aDefault)
{
  const char* text = std::getenv(aName);
  return text ? size_t(std::strtoull(text, nullptr, 10)) : aDefault;
}

struct Node
{
  InstanceName mName;
  size_t mZone = 0;
  uint64_t mIncarnation = 1;
  bool mIsUp = true;
  size_t mDownSinceStep = 0;
  std::unique_ptr<HeadroomTracker> mTracker;
  std::unique_ptr<LookupPolicy> mPolicy;
};

struct Caller
{
  IpAddress mAddress;
  double mRate = 0;
  size_t mHomeRegion = 0;
  size_t mRegion = ZoneNumbering::kNone;
  size_t mZone = ZoneNumbering::kNone;
  double mCommittedRate = 0;
  TimePoint mExpiry; ///< End of the answer's time to live or the retry delay.
  std::vector<InstanceName> mInstances;
  uint64_t mChanges = 0;
};

struct Tally
{
  uint64_t mAnswers = 0;
  uint64_t mRefusals = 0;
  uint64_t mChanges = 0;
  uint64_t mMaxChanges = 0;
  uint64_t mFaults = 0;
  double mCommittedPeak = 0; ///< Maximum committed rate / capacity of a zone.
  double mLoadPeak = 0;      ///< Maximum actual load / capacity of a zone.
  /// For comparison: maximum load / capacity of a region if each caller used
  /// the nearest region with a live instance.
  double mNearestPeak = 0;
};

/// Several instances with simulated callers, load reports and zone views.
/// Messages between instances may be lost; load reports may be late, missing or
/// wrong.
class Fleet
{
public:
  Fleet(uint64_t aSeed, double aDemand)
    : mRandom(aSeed)
    , mInventory(MakeInventory(3, 2, kRegionCapacity))
    , mNumbering(*mInventory)
    , mViews(kZones)
    , mHistory(kZones)
  {
    for (size_t i = 0; i < kBlocks; ++i) {
      Caller it;
      it.mAddress = IpAddress::FromV4(uint32_t(10 << 24 | i << 8 | 9));
      // Half of the callers are in r0.
      it.mHomeRegion = i % 2 ? 0 : 1 + i / 2 % 2;
      it.mRate = 0.5 + mRandom.Uniform();
      it.mExpiry = TimePoint() + kStep * mRandom.Below(10);
      REQUIRE(mBlocks.Insert(IpPrefix(it.mAddress, 24),
                             mNumbering.NameOfRegion(it.mHomeRegion)));
      mCallers.push_back(it);
    }
    const double scale = aDemand * 3 * kRegionCapacity / double(kBlocks);
    for (auto& it : mCallers) {
      it.mRate *= scale;
    }
    mDefaultRate = scale;
    for (const auto& it : MakeInstances(*mInventory, kPerZone)) {
      Node node;
      node.mName = it.mName;
      node.mZone = mNumbering.FindZone(it.mZone);
      mNodes.push_back(std::move(node));
    }
    for (auto& it : mNodes) {
      mViews[it.mZone].mMembers.push_back({ it.mName, 1 });
      mViews[it.mZone].mNumber = 1;
    }
    for (auto& it : mNodes) {
      Start(it);
    }
  }

  void Step()
  {
    mNow += kStep;
    ++mStepCount;
    StepFaults();
    StepReports();
    StepHeartbeats();
    for (auto& it : mNodes) {
      if (it.mIsUp && mStepCount % 2 == 0) {
        it.mPolicy->Tick(mNow);
      }
    }
    StepCallers();
    CheckCapacity();
  }

  Tally mTally;
  bool mHasFaults = true;

  void SetRegionUp(size_t aRegion, bool aIsUp)
  {
    for (auto& it : mNodes) {
      if (mNumbering.RegionOfZone(it.mZone) == aRegion) {
        SetUp(it, aIsUp);
      }
    }
    ++mTally.mFaults;
  }

  const std::vector<Caller>& Callers() const { return mCallers; }

private:
  void Start(Node& aNode)
  {
    aNode.mTracker = std::make_unique<HeadroomTracker>(
      HeadroomOptions{ .mSelf = { aNode.mName, aNode.mIncarnation },
                       .mZone = mNumbering.NameOfZone(aNode.mZone),
                       .mUnmeasuredReserve = 0.25 },
      *mInventory);
    aNode.mPolicy = std::make_unique<LookupPolicy>(
      LookupOptions{ .mSelf = aNode.mName,
                     .mZone = mNumbering.NameOfZone(aNode.mZone),
                     .mDefaultRate = mDefaultRate },
      mBlocks,
      *aNode.mTracker);
    aNode.mTracker->ApplyZoneView(mViews[aNode.mZone], mNow);
    SendViewTo(aNode);
  }

  void SendViewTo(Node& aNode)
  {
    SteeringView view;
    view.mInventory = mInventory;
    for (const auto& it : mNodes) {
      // A failed instance stays listed for 4 s.
      if (it.mIsUp || mStepCount < it.mDownSinceStep + 8) {
        view.mInstances.push_back({ .mName = it.mName,
                                    .mZone = mNumbering.NameOfZone(it.mZone),
                                    .mAddress = "127.0.0.1",
                                    .mPort = 1 });
      }
    }
    aNode.mPolicy->SetView(std::move(view), mNow);
  }

  void SetUp(Node& aNode, bool aIsUp)
  {
    if (aNode.mIsUp == aIsUp) {
      return;
    }
    aNode.mIsUp = aIsUp;
    mPublishStep = mStepCount + 9;
    ShareView& view = mViews[aNode.mZone];
    if (!aIsUp) {
      aNode.mDownSinceStep = mStepCount;
      return;
    }
    // A new process replaces the old incarnation in one update of the view.
    ++aNode.mIncarnation;
    ++view.mNumber;
    auto& members = view.mMembers;
    members.erase(std::remove_if(members.begin(),
                                 members.end(),
                                 [&](const auto& aMember) {
                                   return aMember.mName == aNode.mName;
                                 }),
                  members.end());
    members.push_back({ aNode.mName, aNode.mIncarnation });
    Start(aNode);
    mPublishStep = mStepCount;
  }

  void StepFaults()
  {
    if (mHasFaults) {
      auto& node = mNodes[mRandom.Below(mNodes.size())];
      if (node.mIsUp && mRandom.Chance(0.002)) {
        SetUp(node, false);
        ++mTally.mFaults;
      }
      if (mLostRegion == ZoneNumbering::kNone && mRandom.Chance(0.0008)) {
        mLostRegion = mRandom.Below(3);
        mRegionRestoreStep = mStepCount + 200 + mRandom.Below(200);
        SetRegionUp(mLostRegion, false);
      } else if (mLostRegion != ZoneNumbering::kNone &&
                 mStepCount >= mRegionRestoreStep) {
        SetRegionUp(mLostRegion, true);
        mLostRegion = ZoneNumbering::kNone;
      }
      for (auto& it : mNodes) {
        if (!it.mIsUp && mNumbering.RegionOfZone(it.mZone) != mLostRegion &&
            mStepCount > it.mDownSinceStep + 60) {
          SetUp(it, true);
        }
      }
      if (mRandom.Chance(0.001)) {
        mReportsResumeStep = mStepCount + mRandom.Below(240);
      }
      if (mRandom.Chance(0.002)) {
        mMisleadingSource = mRandom.Below(3);
        mMisleadingFactor = mRandom.Chance(0.5) ? 0 : 5;
      }
    }
    // A failed instance is evicted from the view of its zone after 6 s.
    for (auto& it : mNodes) {
      ShareView& view = mViews[it.mZone];
      const ShareMember member{ it.mName, it.mIncarnation };
      const auto at =
        std::find(view.mMembers.begin(), view.mMembers.end(), member);
      if (!it.mIsUp && mStepCount > it.mDownSinceStep + 12 &&
          at != view.mMembers.end()) {
        view.mMembers.erase(at);
        ++view.mNumber;
      }
    }
    for (auto& it : mNodes) {
      // Members receive views late; heartbeats add the rest of the delay.
      if (it.mIsUp && mRandom.Chance(0.5)) {
        it.mTracker->ApplyZoneView(mViews[it.mZone], mNow);
      }
      if (it.mIsUp && mStepCount == mPublishStep) {
        SendViewTo(it);
      }
    }
  }

  void StepReports()
  {
    std::vector<double> load(kZones, 0);
    for (const auto& it : mCallers) {
      if (it.mZone != ZoneNumbering::kNone && it.mExpiry > mNow) {
        load[it.mZone] += it.mRate;
      }
    }
    mLoad = load;
    for (size_t zone = 0; zone < kZones; ++zone) {
      mHistory[zone].push_back(load[zone]);
      for (size_t source = 0; source < 3; ++source) {
        if (mStepCount < mReportsResumeStep || mRandom.Chance(0.3)) {
          continue;
        }
        const size_t lag =
          std::min(mHistory[zone].size() - 1, size_t(mRandom.Below(6)));
        double rate = mHistory[zone][mHistory[zone].size() - 1 - lag] *
                      (0.95 + 0.1 * mRandom.Uniform());
        if (source == mMisleadingSource) {
          rate = mMisleadingFactor * rate;
        }
        const LoadReport report{ .mReporter = InstanceName(
                                   "source" + std::to_string(source)),
                                 .mZone = mNumbering.NameOfZone(zone),
                                 .mRate = rate,
                                 .mMeasuredAt = mNow - kStep * lag };
        for (auto& it : mNodes) {
          if (it.mIsUp && mRandom.Chance(0.8)) {
            it.mTracker->OnLoadReport(report);
          }
        }
      }
    }
  }

  void ExchangeHeartbeat(Node& aFrom, Node& aTo, bool aForZone)
  {
    if (!aTo.mIsUp || mRandom.Chance(0.1)) {
      return;
    }
    const SteeringSummary summary =
      aFrom.mPolicy->Summary(aTo.mName, aForZone, mNow);
    aTo.mPolicy->OnSummary(summary, mNow);
    const auto loans = aTo.mTracker->Lend(summary, mNow);
    if (!mRandom.Chance(0.1)) {
      aFrom.mTracker->OnLoans(aTo.mName, loans, mNow, mNow);
    }
  }

  void StepHeartbeats()
  {
    for (size_t i = 0; i < mNodes.size(); ++i) {
      if (!mNodes[i].mIsUp) {
        continue;
      }
      for (size_t zone = 0; zone < kZones; ++zone) {
        for (size_t n = 0; n < kPerZone; ++n) {
          Node& to = mNodes[zone * kPerZone + n];
          const bool own = zone == mNodes[i].mZone;
          if (own ? &to != &mNodes[i] : n == (mStepCount + i) % kPerZone) {
            ExchangeHeartbeat(mNodes[i], to, !own);
          }
        }
      }
    }
  }

  size_t NearestLiveRegion(size_t aRegion) const
  {
    constexpr size_t kOrder[3][3] = { { 0, 1, 2 }, { 1, 0, 2 }, { 2, 1, 0 } };
    for (const size_t region : kOrder[aRegion]) {
      for (const auto& it : mNodes) {
        if (it.mIsUp && mNumbering.RegionOfZone(it.mZone) == region) {
          return region;
        }
      }
    }
    return aRegion;
  }

  Node& ChooseInstance(const Caller& aCaller)
  {
    // By weight; 2% of the calls go to any instance, as after a restart.
    if (!aCaller.mInstances.empty() && mRandom.Chance(0.98)) {
      const size_t n = mRandom.Chance(0.6) ? 0 : mRandom.Below(3);
      const auto& name =
        aCaller.mInstances[std::min(n, aCaller.mInstances.size() - 1)];
      for (auto& it : mNodes) {
        if (it.mIsUp && it.mName == name) {
          return it;
        }
      }
    }
    for (;;) {
      auto& it = mNodes[mRandom.Below(mNodes.size())];
      if (it.mIsUp) {
        return it;
      }
    }
  }

  void StepCallers()
  {
    const double seconds = ToSeconds(kStep);
    for (auto& it : mCallers) {
      if (it.mExpiry <= mNow) {
        LookUp(it);
      }
      if (it.mZone == ZoneNumbering::kNone) {
        continue;
      }
      const double requests = it.mRate * seconds;
      const double whole = std::floor(requests);
      size_t n = size_t(whole) + mRandom.Chance(requests - whole);
      for (; n > 0; --n) {
        ChooseInstance(it).mPolicy->CountRequest(it.mAddress, mNow);
      }
    }
  }

  void LookUp(Caller& aCaller)
  {
    Node& node = ChooseInstance(aCaller);
    const LookupDecision answer =
      node.mPolicy->Decide({ .mClient = aCaller.mAddress,
                             .mService = ServiceName("lookup"),
                             .mWorkspace = {} },
                           mNow);
    aCaller.mInstances.clear();
    aCaller.mZone = ZoneNumbering::kNone;
    aCaller.mCommittedRate = 0;
    if (answer.mCode != ResultCode::Ok) {
      REQUIRE(answer.mCode == ResultCode::NoHeadroom);
      ++mTally.mRefusals;
      aCaller.mExpiry = mNow + answer.mRetryAfter;
      return;
    }
    ++mTally.mAnswers;
    const size_t region = mNumbering.FindRegion(answer.mRegion);
    if (aCaller.mRegion != ZoneNumbering::kNone && aCaller.mRegion != region) {
      ++aCaller.mChanges;
      ++mTally.mChanges;
    }
    aCaller.mRegion = region;
    aCaller.mZone = mNumbering.FindZone(answer.mZone);
    aCaller.mCommittedRate = answer.mCommittedRate;
    aCaller.mExpiry = mNow + answer.mTtl;
    for (const auto& instance : answer.mInstances) {
      aCaller.mInstances.push_back(instance.mName);
    }
  }

  /// Checks invariant I2 against the answers that callers received, without the
  /// state of the trackers.
  void CheckCapacity()
  {
    std::vector<double> committed(kZones, 0);
    for (const auto& it : mCallers) {
      if (it.mZone != ZoneNumbering::kNone && it.mExpiry > mNow) {
        committed[it.mZone] += it.mCommittedRate;
      }
      mTally.mMaxChanges = std::max(mTally.mMaxChanges, it.mChanges);
    }
    std::vector<double> nearest(3, 0);
    for (const auto& it : mCallers) {
      nearest[NearestLiveRegion(it.mHomeRegion)] += it.mRate;
    }
    for (const double it : nearest) {
      mTally.mNearestPeak = std::max(mTally.mNearestPeak, it / kRegionCapacity);
    }
    const double capacity = kRegionCapacity * 3 / double(kZones);
    for (size_t zone = 0; zone < kZones; ++zone) {
      REQUIRE(committed[zone] <= capacity * (1 + 1e-9));
      // Committed rates are estimates of what callers will send.
      REQUIRE(mLoad[zone] <= capacity);
      mTally.mCommittedPeak =
        std::max(mTally.mCommittedPeak, committed[zone] / capacity);
      mTally.mLoadPeak = std::max(mTally.mLoadPeak, mLoad[zone] / capacity);
    }
  }

  Random mRandom;
  std::shared_ptr<Inventory> mInventory;
  ZoneNumbering mNumbering;
  ClientBlockTable mBlocks;
  std::vector<Node> mNodes;
  std::vector<Caller> mCallers;
  std::vector<ShareView> mViews;
  std::vector<std::vector<double>> mHistory;
  std::vector<double> mLoad;
  double mDefaultRate = 1;
  TimePoint mNow;
  size_t mStepCount = 0;
  size_t mPublishStep = 0;
  size_t mLostRegion = ZoneNumbering::kNone;
  size_t mRegionRestoreStep = 0;
  size_t mReportsResumeStep = 0;
  size_t mMisleadingSource = 3;
  double mMisleadingFactor = 0;
};

} // namespace pollenway::fleet_model
