// Seeded simulation of the dispatch in one zone with the production classes:
// receiving instances select targets, slot owners queue and start requests.
// Prints one Markdown table. Usage: dispatch_model [--seed=N] [--seconds=N]

#include "FairQueue.h"
#include "RetryPolicy.h"
#include "SlotTable.h"
#include "TargetSelector.h"

#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <queue>
#include <string>

DEFINE_uint64(seed, 1, "seed of all random numbers");
DEFINE_uint32(seconds, 30, "simulated seconds");

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kTargets = 12;
constexpr unsigned kSlots = 7;
constexpr unsigned kReceivers = 6;
constexpr unsigned kWorkspaces = 8;
constexpr double kServiceMs = 10;
// Requests until a cold target's caches are filled, and its initial slowdown.
constexpr double kWarmUpRequests = 400;
constexpr double kColdFactor = 10;

struct Scenario
{
  std::string mName;
  /// Load of all workspaces together, relative to the capacity of the slots.
  double mLoad = 0.7;
  /// Workspace 0 sends its share of `mLoad` times this factor.
  double mOverloadFactor = 1;
  bool mFair = true;
  bool mSlowStart = true;
  /// Number of targets that restart cold after a third of the time.
  unsigned mRestarts = 0;
  /// Number of targets that lose the connection of each request, after it has
  /// occupied a slot for a long time.
  unsigned mFailing = 0;
  bool mBudget = true;
  /// Each workspace has its own retry budget instead of one for the service.
  bool mIsBudgetPerWorkspace = false;
  bool mEjection = true;
};

struct Request
{
  unsigned mWorkspace = 0;
  unsigned mReceiver = 0;
  TimePoint mArrivedAt{};
  TimePoint mAttemptedAt{};
  AttemptReport mReport;
  std::vector<TargetName> mTried;
  TargetName mTarget;
};

double Percentile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const size_t n =
    std::min(aValues.size() - 1, size_t(aFraction * double(aValues.size())));
  std::nth_element(
    aValues.begin(), aValues.begin() + ptrdiff_t(n), aValues.end());
  return aValues[n];
}

template<SelectionPolicy Policy>
class Model
{
public:
  explicit Model(const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(FLAGS_seed)
  {
    std::vector<SelectableTarget> targets;
    for (unsigned i = 0; i < kTargets; ++i) {
      const TargetName name("t" + std::to_string(i));
      mIndex[name] = i;
      mNames.push_back(name);
      targets.push_back({ .mName = name,
                          .mZone = ZoneName("z"),
                          .mRegion = RegionName("r"),
                          .mSlots = kSlots });
      mSlots.SetTarget(name, { .mSlots = kSlots });
      mSlots.TakeOverUnowned(name);
      mQueues.push_back(
        std::make_unique<FairQueue<std::shared_ptr<Request>>>(FairQueueOptions{
          .mLimit = 16, .mWorkspaceLimit = aScenario.mFair ? 8u : 16u }));
    }
    ObservationOptions options;
    options.mColdShare = aScenario.mSlowStart ? options.mColdShare : 1;
    options.mMaxEjectedFraction =
      aScenario.mEjection ? options.mMaxEjectedFraction : 0;
    for (unsigned i = 0; i < kReceivers; ++i) {
      mSelectors.push_back(std::make_unique<BasicTargetSelector<Policy>>(
        ZoneName("z"), RegionName("r"), options));
      mSelectors.back()->SetTargets(targets, mNow);
      for (unsigned workspace = 0; workspace < kWorkspaces; ++workspace) {
        mBudgets.push_back(RetryBudget(
          aScenario.mBudget
            ? RetryBudgetOptions{}
            : RetryBudgetOptions{ .mRatio = 100, .mMaxTokens = 1e9 }));
      }
    }
    mServedSinceStart.assign(kTargets, kWarmUpRequests * 10);
    mEpoch.assign(kTargets, 0);
    mDown.assign(kTargets, false);
    mLatencies.resize(kWorkspaces);
    mSent.assign(kWorkspaces, 0);
  }

  void Run()
  {
    const Duration length = FLAGS_seconds * 1s;
    const double capacity = kTargets * kSlots / (kServiceMs / 1e3);
    for (unsigned i = 0; i < kWorkspaces; ++i) {
      const double share = capacity * mScenario.mLoad / kWorkspaces;
      ScheduleArrival(
        i, share * (i == 0 ? mScenario.mOverloadFactor : 1), length);
    }
    After(500ms, [this] { SendLoadSummaries(); });
    for (unsigned i = 0; i < mScenario.mRestarts; ++i) {
      After(length / 3, [this, i] { Crash(i); });
    }
    while (!mEvents.empty() && mEvents.top().mAt < TimePoint(length + 5s)) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
  }

  void Print()
  {
    std::vector<double> all;
    std::vector<double> late;
    double worst = 0;
    double worstAnswered = 1;
    uint64_t sent = 0;
    uint64_t answered = 0;
    for (unsigned i = 0; i < kWorkspaces; ++i) {
      auto& it = mLatencies[i];
      sent += mSent[i];
      answered += it.size();
      all.insert(all.end(), it.begin(), it.end());
      if (i > 0 || mScenario.mOverloadFactor == 1) {
        worst = std::max(worst, Percentile(it, 0.99));
        worstAnswered =
          std::min(worstAnswered, double(it.size()) / double(mSent[i]));
      }
    }
    const double answered0 = double(mLatencies[0].size()) / double(mSent[0]);
    std::printf(
      "| %s | %llu | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.3f |\n",
      mScenario.mName.c_str(),
      static_cast<unsigned long long>(sent),
      Percentile(all, 0.5),
      Percentile(all, 0.99),
      worst,
      100 * double(answered) / double(sent),
      100 * worstAnswered,
      100 * answered0,
      double(mRetries) / double(sent));
  }

private:
  struct Event
  {
    TimePoint mAt;
    uint64_t mOrder;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };
  using RequestPtr = std::shared_ptr<Request>;

  void After(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, mOrder++, std::move(aAction) });
  }

  void ScheduleArrival(unsigned aWorkspace, double aRate, Duration aLength)
  {
    const Duration interval = FromSeconds(mRandom.Exponential(1 / aRate));
    if (mNow + interval >= TimePoint(aLength)) {
      return;
    }
    After(interval, [=, this] {
      auto request = std::make_shared<Request>();
      request->mWorkspace = aWorkspace;
      request->mReceiver = unsigned(mRandom.Below(kReceivers));
      request->mArrivedAt = mNow;
      request->mReport = { .mExecution = RouteExecution::Idempotent,
                           .mAttempts = 0,
                           .mDeadline = mNow + 1s };
      ++mSent[aWorkspace];
      BudgetOf(*request).OnRequest();
      Attempt(request);
      ScheduleArrival(aWorkspace, aRate, aLength);
    });
  }

  RetryBudget& BudgetOf(const Request& aRequest)
  {
    return mBudgets[aRequest.mReceiver * kWorkspaces +
                    (mScenario.mIsBudgetPerWorkspace ? aRequest.mWorkspace
                                                     : 0)];
  }

  void Attempt(const RequestPtr& aRequest)
  {
    auto& selector = *mSelectors[aRequest->mReceiver];
    const auto target = selector.Select(aRequest->mTried, mRandom, mNow);
    if (!target) {
      return;
    }
    ++aRequest->mReport.mAttempts;
    aRequest->mTarget = *target;
    aRequest->mTried.push_back(*target);
    aRequest->mAttemptedAt = mNow;
    selector.OnStart(*target);
    After(250us, [=, this] { OnOwnerReceived(aRequest); });
  }

  // Processes a request at the slot owner of its target.
  void OnOwnerReceived(const RequestPtr& aRequest)
  {
    const unsigned target = mIndex.at(aRequest->mTarget);
    if (mDown[target]) {
      After(250us,
            [=, this] { Fail(aRequest, AttemptFailure::ConnectFailed); });
      return;
    }
    auto& queue = *mQueues[target];
    if (queue.IsEmpty()) {
      if (auto ticket = mSlots.Acquire(aRequest->mTarget, mNow)) {
        Start(aRequest, *ticket);
        return;
      }
    }
    // A single queue for all workspaces is first in, first out.
    const WorkspaceName queueName(
      mScenario.mFair ? std::to_string(aRequest->mWorkspace) : "all");
    auto pushed =
      queue.Push(queueName, 1, aRequest->mReport.mDeadline, aRequest);
    if (pushed.mRefused) {
      const auto refused = *pushed.mRefused;
      After(250us, [=, this] { Fail(refused, AttemptFailure::Shed); });
    }
  }

  void Start(const RequestPtr& aRequest, SlotTicket aTicket)
  {
    const unsigned target = mIndex.at(aRequest->mTarget);
    const bool failing = target < mScenario.mFailing;
    const double cold =
      1 + (kColdFactor - 1) *
            std::exp(-mServedSinceStart[target] / kWarmUpRequests);
    const double slow = target == kTargets - 1 ? 3 : 1;
    const double ms =
      failing ? 100 : mRandom.Exponential(kServiceMs) * cold * slow;
    mServedSinceStart[target] += 1;
    const unsigned epoch = mEpoch[target];
    After(FromSeconds(ms / 1e3), [=, this] {
      mSlots.Release(aTicket);
      const bool lost = failing || epoch != mEpoch[target];
      if (lost) {
        Fail(aRequest, AttemptFailure::ConnectionLost);
      } else {
        After(250us, [=, this] { Finish(aRequest); });
      }
      DispatchQueued(target);
    });
  }

  void DispatchQueued(unsigned aTarget)
  {
    while (mSlots.State(mNames[aTarget], mNow) == SlotState::Free) {
      auto request = mQueues[aTarget]->Pop(mNow);
      if (!request) {
        break;
      }
      Start(*request, *mSlots.Acquire(mNames[aTarget], mNow));
    }
    mQueues[aTarget]->TakeExpired(mNow);
  }

  void Finish(const RequestPtr& aRequest)
  {
    mSelectors[aRequest->mReceiver]->OnEnd(
      aRequest->mTarget, RequestEnd::Ok, mNow - aRequest->mAttemptedAt, mNow);
    if (mNow <= aRequest->mReport.mDeadline) {
      mLatencies[aRequest->mWorkspace].push_back(
        ToSeconds(mNow - aRequest->mArrivedAt) * 1e3);
    }
  }

  void Fail(const RequestPtr& aRequest, AttemptFailure aFailure)
  {
    const auto end = aFailure == AttemptFailure::Shed ? RequestEnd::Shed
                     : aFailure == AttemptFailure::ConnectFailed
                       ? RequestEnd::ConnectFailed
                       : RequestEnd::Failed;
    mSelectors[aRequest->mReceiver]->OnEnd(
      aRequest->mTarget, end, mNow - aRequest->mAttemptedAt, mNow);
    auto& report = aRequest->mReport;
    report.mFailure = aFailure;
    report.mBytesSent = aFailure == AttemptFailure::ConnectionLost;
    const auto decision = mPolicy.Decide(report, BudgetOf(*aRequest), mNow);
    report.mEarlierMayHaveRun = decision.mMayHaveRun;
    if (decision.mRetry) {
      ++mRetries;
      Attempt(aRequest);
    }
  }

  void Crash(unsigned aTarget)
  {
    ++mEpoch[aTarget];
    mServedSinceStart[aTarget] = 0;
    mDown[aTarget] = true;
    for (auto& it : mSelectors) {
      it->OnCrash(mNames[aTarget], mNow);
    }
    After(1s, [=, this] { mDown[aTarget] = false; });
  }

  // Sends the load summaries that slot owners include in heartbeats.
  void SendLoadSummaries()
  {
    for (unsigned i = 0; i < kTargets; ++i) {
      const double load = double(mSlots.OccupiedSlots(mNames[i], mNow)) +
                          double(mQueues[i]->Size());
      for (auto& it : mSelectors) {
        it->OnLoadSummary(mNames[i], { .mLoad = load, .mCountedAt = mNow });
      }
    }
    After(500ms, [this] { SendLoadSummaries(); });
  }

  Scenario mScenario;
  Random mRandom;
  TimePoint mNow{};
  uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::map<TargetName, unsigned> mIndex;
  std::vector<TargetName> mNames;
  SlotTable mSlots;
  std::vector<std::unique_ptr<FairQueue<RequestPtr>>> mQueues;
  std::vector<std::unique_ptr<BasicTargetSelector<Policy>>> mSelectors;
  std::vector<RetryBudget> mBudgets;
  RetryPolicy mPolicy;
  std::vector<double> mServedSinceStart;
  std::vector<unsigned> mEpoch;
  std::vector<bool> mDown;
  std::vector<std::vector<double>> mLatencies;
  std::vector<uint64_t> mSent;
  uint64_t mRetries = 0;
};

template<SelectionPolicy Policy>
void RunOne(const Scenario& aScenario)
{
  Model<Policy> model(aScenario);
  model.Run();
  model.Print();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("| scenario | requests | p50 ms | p99 ms | worst p99 ms | "
              "answered %% | worst answered %% | workspace 0 answered %% | "
              "retries a request |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|\n");
  RunOne<LeastOutstandingOfTwo>({ .mName = "least outstanding of two, 0.7" });
  RunOne<RandomTarget>({ .mName = "random target, 0.7" });
  RunOne<LeastOutstandingOfTwo>(
    { .mName = "all at their rate, 0.8, fair", .mLoad = 0.8 });
  RunOne<LeastOutstandingOfTwo>({ .mName = "one at 5 times, 0.8, fair",
                                  .mLoad = 0.8,
                                  .mOverloadFactor = 5 });
  RunOne<LeastOutstandingOfTwo>(
    { .mName = "one at 5 times, 0.8, fair, budget for each workspace",
      .mLoad = 0.8,
      .mOverloadFactor = 5,
      .mIsBudgetPerWorkspace = true });
  RunOne<LeastOutstandingOfTwo>({ .mName = "one at 5 times, 0.8, first in",
                                  .mLoad = 0.8,
                                  .mOverloadFactor = 5,
                                  .mFair = false });
  RunOne<LeastOutstandingOfTwo>({ .mName = "3 cold restarts, 0.6, slow start",
                                  .mLoad = 0.6,
                                  .mRestarts = 3 });
  RunOne<LeastOutstandingOfTwo>(
    { .mName = "3 cold restarts, 0.6, no slow start",
      .mLoad = 0.6,
      .mSlowStart = false,
      .mRestarts = 3 });
  for (const bool budget : { true, false }) {
    RunOne<LeastOutstandingOfTwo>(
      { .mName = std::string("6 failing, 0.6, no ejection, ") +
                 (budget ? "budget" : "no budget"),
        .mLoad = 0.6,
        .mFailing = 6,
        .mBudget = budget,
        .mEjection = false });
  }
  return 0;
}
