#include "LoadRun.h"

#include "SteadyTime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pollenway {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(20);

} // namespace

LoadRun::LoadRun(asio::any_io_executor aExecutor, const LoadPlan& aPlan)
  : mExecutor(aExecutor)
  , mPlan(aPlan)
  , mRandom(aPlan.mSeed)
{
  uint64_t n = 0;
  for (const auto& workspace : aPlan.mWorkspaces) {
    ++n;
    auto group = std::make_unique<Group>(workspace, aPlan.mSeed * 1000 + n);
    for (const auto& it : aPlan.mOperations) {
      const auto share = workspace.mShares.find(it.mName);
      group->mShares.push_back(workspace.mShares.empty() ? it.mShare
                               : share == workspace.mShares.end()
                                 ? 0
                                 : share->second);
    }
    const auto& sources = workspace.mSources;
    const size_t count =
      std::max<size_t>(aPlan.mCallersPerWorkspace, sources.size());
    for (size_t i = 0; i < std::max<size_t>(count, 1); ++i) {
      std::optional<asio::ip::address> source;
      if (!sources.empty()) {
        ErrorCode ec;
        source = asio::ip::make_address(sources[i % sources.size()], ec);
      }
      group->mCallers.push_back(std::make_unique<Caller>(mExecutor,
                                                         mPlan,
                                                         workspace,
                                                         source,
                                                         group->mBucket,
                                                         mRandom,
                                                         mStatistics));
    }
    mGroups.push_back(std::move(group));
  }
}

Awaitable<void> LoadRun::Sleep(Duration aTime)
{
  ErrorCode ec;
  asio::steady_timer timer(mExecutor, aTime);
  co_await timer.async_wait(Into(ec));
}

Awaitable<void> LoadRun::Run()
{
  const TimePoint start = SteadyNow();
  mArriving = mGroups.size();
  for (const auto& it : mGroups) {
    asio::co_spawn(mExecutor, GenerateArrivals(*it), asio::detached);
  }
  while (mArriving > 0) {
    co_await Sleep(kPollInterval);
  }
  const TimePoint arrivalsEndedAt = SteadyNow();
  const Duration completionTimeout = mPlan.mTimeout * (mPlan.mRetries + 1);
  while (mInFlight > 0 && SteadyNow() - arrivalsEndedAt < completionTimeout) {
    co_await Sleep(kPollInterval);
  }
  mStatistics.SetUnfinished(mInFlight);
  mElapsed = arrivalsEndedAt - start;
}

const Operation& LoadRun::ChooseOperation(Group& aGroup)
{
  double sum = 0;
  for (double it : aGroup.mShares) {
    sum += it;
  }
  double chosen = aGroup.mArrivals.Uniform() * sum;
  for (size_t i = 0; i + 1 < mPlan.mOperations.size(); ++i) {
    chosen -= aGroup.mShares[i];
    if (chosen < 0) {
      return mPlan.mOperations[i];
    }
  }
  return mPlan.mOperations.back();
}

Awaitable<void> LoadRun::GenerateArrivals(Group& aGroup)
{
  const TimePoint end = SteadyNow() + mPlan.mArrivalTime;
  TimePoint next = SteadyNow();
  while (aGroup.mPlan.mLoad > 0) {
    next += FromSeconds(aGroup.mArrivals.Exponential(1 / aGroup.mPlan.mLoad));
    const Operation& operation = ChooseOperation(aGroup);
    const size_t n = aGroup.mArrivals.Below(aGroup.mCallers.size());
    if (next >= end) {
      break;
    }
    const Duration wait = next - SteadyNow();
    if (wait > Duration::zero()) {
      co_await Sleep(wait);
    }
    if (mStopping || mLastRequestNumber >= mPlan.mMaxRequests) {
      break;
    }
    ++mLastRequestNumber;
    mStatistics.RecordArrival();
    if (mInFlight >= mPlan.mMaxInFlight) {
      mStatistics.RecordNotSent();
      continue;
    }
    ++mInFlight;
    asio::co_spawn(
      mExecutor,
      SendOne(*aGroup.mCallers[n], operation, mLastRequestNumber, next),
      asio::detached);
  }
  --mArriving;
}

Awaitable<void> LoadRun::SendOne(Caller& aCaller,
                                 const Operation& aOperation,
                                 uint64_t aNumber,
                                 TimePoint aArrival)
{
  co_await aCaller.Send(aOperation, aNumber, aArrival);
  --mInFlight;
}

} // namespace pollenway
