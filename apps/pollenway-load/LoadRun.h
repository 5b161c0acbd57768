#pragma once

#include "Caller.h"
#include "IdealBucket.h"
#include "LoadPlan.h"
#include "LoadStatistics.h"
#include "Random.h"

#include <memory>
#include <vector>

namespace pollenway {

/// Sends a plan's requests in an open loop: arrivals don't wait for answers.
class LoadRun
{
public:
  LoadRun(asio::any_io_executor aExecutor, const LoadPlan& aPlan);

  /// Runs until all requests ended, or a bounded time after the last arrival.
  Awaitable<void> Run();
  /// Lets no further request arrive.
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
    /// Apart from the callers' chance, so that equal seeds give equal arrivals.
    Random mArrivals;
    std::vector<std::unique_ptr<Caller>> mCallers;
    std::vector<double> mShares;
  };

  Awaitable<void> Arrive(Group& aGroup);
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
  uint64_t mNumber = 0;
  size_t mInFlight = 0;
  size_t mArriving = 0;
  bool mStopping = false;
  Duration mElapsed{};
};

} // namespace pollenway
