#pragma once

#include "GatewaySamples.h"
#include "MixHash.h"
#include "PlacementPlan.h"
#include "ServiceDemand.h"
#include "TargetRanking.h"
#include "TargetTable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Model for the tests of placement: a fleet of gateway instances in six zones
/// of three regions, with targets that queue, reject and keep the state of
/// objects, on a simulated clock. The plan, the demand, the ranking and the
/// table are the real ones.
namespace pollenway::region_fleet {

inline const ServiceName kService("lookup");
/// Regions and zones: each region has two zones.
constexpr const char* kRegionOfZone[] = { "akl", "wlg", "chc",
                                          "akl", "wlg", "chc" };
constexpr const char* kZoneNames[] = { "akl-1", "wlg-1", "chc-1",
                                       "akl-2", "wlg-2", "chc-2" };
constexpr size_t kZones = 6;
/// The region with a third of the callers and a seventh of the targets.
inline const RegionName kSmallRegion("wlg");

constexpr unsigned kSlots = 9;
constexpr size_t kQueueLimit = 27;
/// Time of a run without the state of the object, and the factor with it.
constexpr double kRunSeconds = 0.36;
constexpr double kWarmFactor = 0.3;
/// Number of objects whose state a target keeps.
constexpr size_t kKeptObjects = 96;
constexpr unsigned kObjectsPerZone = 107;
constexpr double kRequestsPerSecondAndZone = 80;
constexpr double kCallerTimeout = 2;
constexpr unsigned kMaxAttempts = 2;
constexpr double kZoneRoundTrip = 0.0002;
constexpr double kRegionRoundTrip = 0.0005;
constexpr double kRemoteRoundTrip = 0.055;
constexpr double kTickSeconds = 0.5;
/// Time between the start of the instances and the first request.
constexpr double kLeadSeconds = 8;

struct Options
{
  uint32_t mSeed = 1;
  /// Delay of a zone's demand at the instances of other zones.
  double mDigestDelay = 0.06;
  /// Factor on the rate of a zone's requests at a time.
  std::function<double(const std::string& aRegion, double aTime)> mRate =
    [](const std::string&, double) { return 1.0; };
};

/// A request that ran: when it reached its target, from and in which region.
struct Run
{
  double mTime = 0;
  size_t mFrom = 0;
  size_t mIn = 0;
  SelectionReason mReason = SelectionReason::Planned;
};

inline size_t RegionIndex(const std::string& aRegion)
{
  for (size_t n = 0; n < 3; ++n) {
    if (aRegion == kRegionOfZone[n]) {
      return n;
    }
  }
  return 3;
}

inline std::map<ZoneName, RegionName> RegionOf()
{
  std::map<ZoneName, RegionName> out;
  for (size_t n = 0; n < kZones; ++n) {
    out.emplace(ZoneName(kZoneNames[n]), RegionName(kRegionOfZone[n]));
  }
  return out;
}

class Fleet
{
public:
  explicit Fleet(Options aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
  {
    constexpr unsigned kTargetsPerZone[] = { 3, 1, 3, 3, 1, 3 };
    constexpr unsigned kInstancesPerZone[] = { 4, 4, 2, 2, 2, 2 };
    for (size_t zone = 0; zone < kZones; ++zone) {
      for (unsigned n = 0; n < kTargetsPerZone[zone]; ++n) {
        AddTarget(zone);
      }
    }
    for (size_t zone = 0; zone < kZones; ++zone) {
      for (unsigned n = 0; n < kInstancesPerZone[zone]; ++n) {
        mInstances.push_back(std::make_unique<Instance>(zone, -kLeadSeconds));
        StartInstance(mInstances.size() - 1, -kLeadSeconds);
      }
      ScheduleArrival(zone, 0);
    }
  }

  /// Calls `aAction` at a time.
  void At(double aTime, std::function<void()> aAction)
  {
    mEvents.push({ aTime, mNextEvent++, std::move(aAction) });
  }

  void RunUntil(double aTime)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aTime) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      event.mAction();
    }
    mNow = aTime;
  }

  void AddTarget(size_t aZone)
  {
    auto& it = mTargets.emplace_back();
    it.mZone = aZone;
    it.mRecord = sample::MakeTarget(
      "t" + std::to_string(mTargets.size()), kZoneNames[aZone], kSlots);
    for (auto& instance : mInstances) {
      instance->mTable.Put(it.mRecord, Clock(mNow), {});
    }
  }

  /// Drains one target of a zone: it finishes what it has and gets no more.
  void RemoveTarget(size_t aZone)
  {
    for (auto& it : mTargets) {
      if (it.mZone == aZone && !it.mIsRemoved) {
        it.mIsRemoved = true;
        for (auto& instance : mInstances) {
          instance->mTable.Remove(it.mRecord.mName, Clock(mNow), Clock(mNow));
        }
        return;
      }
    }
  }

  /// Makes the targets of a region reject all requests, or accept them again.
  void SetRejecting(const std::string& aRegion, bool aRejects)
  {
    for (auto& it : mTargets) {
      it.mRejects = aRejects && aRegion == kRegionOfZone[it.mZone];
    }
  }

  /// Replaces the first instances of a region by new processes.
  void RestartInstances(const std::string& aRegion, size_t aCount)
  {
    for (size_t n = 0; n < mInstances.size() && aCount > 0; ++n) {
      if (aRegion == kRegionOfZone[mInstances[n]->mZone]) {
        mRetired.push_back(std::move(mInstances[n]));
        mInstances[n] =
          std::make_unique<Instance>(mRetired.back()->mZone, mNow);
        StartInstance(n, mNow);
        --aCount;
      }
    }
  }

  const std::vector<Run>& Runs() const { return mRuns; }
  uint64_t Rejected() const { return mRejected; }
  uint64_t Sent() const { return mSent; }

private:
  struct Event
  {
    double mTime;
    uint64_t mNumber;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return mTime != aOther.mTime ? mTime > aOther.mTime
                                   : mNumber > aOther.mNumber;
    }
  };

  struct Instance
  {
    Instance(size_t aZone, double aNow)
      : mZone(aZone)
      , mTable(RegionOf())
      , mDemand(Clock(aNow))
      , mPlan(ZoneName(kZoneNames[aZone]), RegionOf())
      , mRanking(ZoneName(kZoneNames[aZone]), RegionName(kRegionOfZone[aZone]))
    {
    }

    size_t mZone;
    TargetTable mTable;
    ServiceDemand mDemand;
    PlacementPlan mPlan;
    TargetRanking mRanking;
    /// Rate in the last summary.
    double mReportedRate = 0;
  };

  struct Request
  {
    Instance* mInstance = nullptr;
    uint64_t mObject = 0;
    double mSentAt = 0;
    std::vector<TargetName> mTried;
    SelectionReason mReason = SelectionReason::Planned;
    std::shared_ptr<TargetState> mState;
    double mLoadWhenSent = 0;
    double mAttemptAt = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Target
  {
    size_t mZone = 0;
    RegisteredTarget mRecord;
    bool mIsRemoved = false;
    bool mRejects = false;
    unsigned mRunning = 0;
    std::deque<RequestPtr> mWaiting;
    /// Objects whose state is kept, the last used one first.
    std::list<uint64_t> mKept;
  };

  static TimePoint Clock(double aTime) { return sample::At(aTime); }

  double Uniform() { return (double(mRandom()) + 0.5) / 4294967296.0; }

  double RoundTrip(size_t aFrom, size_t aTo) const
  {
    return aFrom == aTo ? kZoneRoundTrip
           : std::string(kRegionOfZone[aFrom]) == kRegionOfZone[aTo]
             ? kRegionRoundTrip
             : kRemoteRoundTrip;
  }

  void StartInstance(size_t aIndex, double aNow)
  {
    auto& it = *mInstances[aIndex];
    for (const auto& target : mTargets) {
      if (!target.mIsRemoved) {
        it.mTable.Put(target.mRecord, Clock(aNow), {});
      }
    }
    Instance* instance = &it;
    At(aNow + Uniform() * kTickSeconds,
       [this, instance, aIndex] { Tick(instance, aIndex); });
  }

  void Tick(Instance* aInstance, size_t aIndex)
  {
    if (mInstances[aIndex].get() != aInstance) {
      return;
    }
    aInstance->mDemand.Update(Clock(mNow));
    double rate = 0;
    for (const auto& it : aInstance->mDemand.Rates()) {
      rate += it.mRate;
    }
    aInstance->mReportedRate = rate;
    PlacementPlan::ZoneDemand demand;
    double zoneRate = 0;
    for (const auto& it : mInstances) {
      if (it->mZone == aInstance->mZone) {
        zoneRate += it->mReportedRate;
      }
    }
    demand[ZoneName(kZoneNames[aInstance->mZone])] = zoneRate;
    for (size_t zone = 0; zone < kZones; ++zone) {
      if (zone != aInstance->mZone && mDigests[zone] > 0) {
        demand[ZoneName(kZoneNames[zone])] = mDigests[zone];
      }
    }
    const bool isUsed = !aInstance->mDemand.Rates().empty();
    aInstance->mPlan.Update(aInstance->mTable,
                            { { kService, demand } },
                            isUsed ? std::set{ kService }
                                   : std::set<ServiceName>(),
                            Clock(mNow));
    if (IsFirstOfZone(aIndex)) {
      At(mNow + mOptions.mDigestDelay,
         [this, zone = aInstance->mZone, zoneRate] {
           mDigests[zone] = zoneRate;
         });
    }
    At(mNow + kTickSeconds,
       [this, aInstance, aIndex] { Tick(aInstance, aIndex); });
  }

  bool IsFirstOfZone(size_t aIndex) const
  {
    return aIndex == 0 ||
           mInstances[aIndex - 1]->mZone != mInstances[aIndex]->mZone;
  }

  void ScheduleArrival(size_t aZone, double aFrom)
  {
    const double rate =
      kRequestsPerSecondAndZone * mOptions.mRate(kRegionOfZone[aZone], aFrom);
    At(aFrom - std::log(Uniform()) / rate, [this, aZone] {
      Arrive(aZone);
      ScheduleArrival(aZone, mNow);
    });
  }

  void Arrive(size_t aZone)
  {
    std::vector<Instance*> instances;
    for (const auto& it : mInstances) {
      if (it->mZone == aZone) {
        instances.push_back(it.get());
      }
    }
    auto request = std::make_shared<Request>();
    request->mInstance =
      instances[size_t(Uniform() * double(instances.size()))];
    request->mObject = MixHash(aZone + 1, NextObject(aZone) + 1);
    request->mSentAt = mNow;
    ++mSent;
    request->mInstance->mDemand.OnRequest(kService);
    Forward(request);
  }

  /// Returns each object of a zone once, in random order, before any of them
  /// again, so that the sample of a window says little else than the placement.
  uint64_t NextObject(size_t aZone)
  {
    auto& round = mRounds[aZone];
    if (round.empty()) {
      for (unsigned n = 0; n < kObjectsPerZone; ++n) {
        round.push_back(n);
      }
      for (size_t n = round.size() - 1; n > 0; --n) {
        std::swap(round[n], round[size_t(Uniform() * double(n + 1))]);
      }
    }
    const uint64_t out = round.back();
    round.pop_back();
    return out;
  }

  void Forward(const RequestPtr& aRequest)
  {
    auto& instance = *aRequest->mInstance;
    TargetRanking::Request ranking;
    ranking.mService = kService;
    ranking.mObject = aRequest->mObject;
    ranking.mTried = aRequest->mTried;
    auto choice =
      instance.mRanking.Choose(instance.mTable,
                               instance.mPlan.SharesOf(kService),
                               ranking,
                               Clock(mNow),
                               [](const TargetState&) { return true; });
    if (!choice.mTarget) {
      ++mRejected;
      return;
    }
    const auto name = choice.mTarget->Record().mName;
    auto target = std::find_if(
      mTargets.begin(), mTargets.end(), [&](const Target& aTarget) {
        return aTarget.mRecord.mName == name;
      });
    const double roundTrip = RoundTrip(instance.mZone, target->mZone);
    choice.mTarget->OnConnected(FromSeconds(roundTrip));
    aRequest->mLoadWhenSent = choice.mTarget->EstimatedLoad(Clock(mNow));
    aRequest->mAttemptAt = mNow;
    aRequest->mState = choice.mTarget;
    aRequest->mReason = choice.mReason;
    aRequest->mTried.push_back(name);
    choice.mTarget->OnSent();
    At(mNow + roundTrip / 2,
       [this, aRequest, it = &*target] { Receive(aRequest, *it); });
  }

  void Receive(const RequestPtr& aRequest, Target& aTarget)
  {
    if (aTarget.mRejects || (aTarget.mRunning >= kSlots &&
                             aTarget.mWaiting.size() >= kQueueLimit)) {
      Answer(aRequest, aTarget, false);
      return;
    }
    if (aTarget.mRunning >= kSlots) {
      aTarget.mWaiting.push_back(aRequest);
    } else {
      Start(aRequest, aTarget);
    }
  }

  void Start(const RequestPtr& aRequest, Target& aTarget)
  {
    ++aTarget.mRunning;
    mRuns.push_back({ mNow,
                      RegionIndex(kRegionOfZone[aRequest->mInstance->mZone]),
                      RegionIndex(kRegionOfZone[aTarget.mZone]),
                      aRequest->mReason });
    auto& kept = aTarget.mKept;
    const auto it = std::find(kept.begin(), kept.end(), aRequest->mObject);
    const double seconds = kRunSeconds * (it == kept.end() ? 1 : kWarmFactor);
    if (it != kept.end()) {
      kept.erase(it);
    }
    kept.push_front(aRequest->mObject);
    if (kept.size() > kKeptObjects) {
      kept.pop_back();
    }
    At(mNow + seconds, [this, aRequest, target = &aTarget] {
      --target->mRunning;
      Answer(aRequest, *target, true);
      while (!target->mWaiting.empty() && target->mRunning < kSlots) {
        const auto next = target->mWaiting.front();
        target->mWaiting.pop_front();
        if (mNow - next->mSentAt < kCallerTimeout) {
          Start(next, *target);
        } else {
          next->mState->OnEnded();
        }
      }
    });
  }

  void Answer(const RequestPtr& aRequest, const Target& aTarget, bool aHasRun)
  {
    const TargetLoad load{ aTarget.mRunning,
                           unsigned(aTarget.mWaiting.size()),
                           kSlots };
    const double delay =
      RoundTrip(aRequest->mInstance->mZone, aTarget.mZone) / 2;
    At(mNow + delay, [this, aRequest, load, aHasRun] {
      auto& state = *aRequest->mState;
      state.OnEnded();
      state.OnLoad(load, Clock(mNow));
      if (aHasRun) {
        state.OnAnswer(FromSeconds(mNow - aRequest->mAttemptAt),
                       aRequest->mLoadWhenSent,
                       Clock(mNow));
        return;
      }
      state.OnShed(Clock(mNow));
      if (aRequest->mTried.size() < kMaxAttempts) {
        Forward(aRequest);
      } else {
        ++mRejected;
      }
    });
  }

  Options mOptions;
  std::mt19937 mRandom;
  double mNow = -kLeadSeconds;
  uint64_t mNextEvent = 0;
  std::priority_queue<Event> mEvents;
  std::deque<Target> mTargets;
  std::vector<std::unique_ptr<Instance>> mInstances;
  /// Replaced processes; their requests may still be in flight.
  std::vector<std::unique_ptr<Instance>> mRetired;
  /// Demand of each zone as known in the other zones.
  std::array<double, kZones> mDigests{};
  /// Objects of each zone that are still to be requested in this round.
  std::array<std::vector<uint64_t>, kZones> mRounds;
  std::vector<Run> mRuns;
  uint64_t mSent = 0;
  uint64_t mRejected = 0;
};

/// Largest share of a region's requests that change the region in which they
/// run from one window to the next.
struct Shift
{
  double mShare = 0;
  double mTime = 0;
  size_t mRegion = 0;
  /// Shares of the running regions in the window before and in the one after.
  std::array<double, 3> mBefore{};
  std::array<double, 3> mAfter{};
};

/// Returns the largest shift between adjacent windows of `aWindow` seconds
/// whose border slides from `aFrom` to `aTo`.
inline Shift LargestShift(const std::vector<Run>& aRuns,
                          double aFrom,
                          double aTo,
                          double aWindow = 2)
{
  constexpr double kStep = 0.1;
  /// A smaller sample says nothing about the distribution.
  constexpr double kMinRuns = 100;
  Shift out;
  for (int step = 0; aFrom + step * kStep <= aTo; ++step) {
    const double border = aFrom + step * kStep;
    double counts[3][2][3] = {};
    double sums[3][2] = {};
    for (const auto& it : aRuns) {
      if (it.mTime >= border - aWindow && it.mTime < border + aWindow) {
        const size_t half = it.mTime >= border;
        ++counts[it.mFrom][half][it.mIn];
        ++sums[it.mFrom][half];
      }
    }
    for (size_t from = 0; from < 3; ++from) {
      if (sums[from][0] < kMinRuns || sums[from][1] < kMinRuns) {
        continue;
      }
      Shift it{ .mTime = border, .mRegion = from };
      for (size_t n = 0; n < 3; ++n) {
        it.mBefore[n] = counts[from][0][n] / sums[from][0];
        it.mAfter[n] = counts[from][1][n] / sums[from][1];
        it.mShare += std::abs(it.mAfter[n] - it.mBefore[n]) / 2;
      }
      if (it.mShare > out.mShare) {
        out = it;
      }
    }
  }
  return out;
}

} // namespace pollenway::region_fleet
