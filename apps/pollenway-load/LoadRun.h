#pragma once

#include "Caller.h"
#include "IdealBucket.h"
#include "LoadPlan.h"
#include "LoadStatistics.h"
#include "Random.h"

#include <memory>
#include <vector>

namespace pollenway {

/// Sends the requests of a plan in an open loop: arrivals don't wait for
/// answers.
class LoadRun
{
public:
  LoadRun(asio::any_io_executor aExecutor, const LoadPlan& aPlan);

  /// Returns when all requests have ended, or a bounded time after the last
  /// arrival.
  Awaitable<void> Run();
  /// Ends the arrivals.
  void Stop() { mStopping = true; }
  const LoadStatistics& Statistics() const { return mStatistics; }
  Duration Elapsed() const { return mElapsed; }

private:
  struct Group
  {
    Group(const WorkspacePlan& aPlan, uint64_t aSeed)
      : mPlan(aPlan)
      , mBucket(aPlan.mRate, aPlan.mBurst)
      , mArrivals(aSeed)
    {
    }

    const WorkspacePlan& mPlan;
    IdealBucket mBucket;
    /// Separate from the generator that callers use, so that equal seeds give
    /// equal arrivals.
    Random mArrivals;
    std::vector<std::unique_ptr<Caller>> mCallers;
    std::vector<double> mShares;
  };

  Awaitable<void> GenerateArrivals(Group& aGroup);
  Awaitable<void> SendOne(Caller& aCaller,
                          const Operation& aOperation,
                          uint64_t aNumber,
                          TimePoint aArrival);
  Awaitable<void> Sleep(Duration aTime);
  const Operation& ChooseOperation(Group& aGroup);

  asio::any_io_executor mExecutor;
  const LoadPlan& mPlan;
  Random mRandom;
  LoadStatistics mStatistics;
  std::vector<std::unique_ptr<Group>> mGroups;
  uint64_t mLastRequestNumber = 0;
  size_t mInFlight = 0;
  size_t mArriving = 0;
  bool mStopping = false;
  Duration mElapsed{};
};

} // namespace pollenway
