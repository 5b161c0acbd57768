// Seeded simulation of poison requests, which crash the targets that run them,
// with the production class CrashQuarantine in each instance. Crash reports
// reach other instances after the network latency. Callers retry a failed
// request at any instance. Prints one Markdown table.
// Usage: crash_model [--seed=N] [--seconds=N]

#include "CrashQuarantine.h"
#include "Random.h"
#include "RendezvousHash.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <queue>
#include <string>

DEFINE_uint64(seed, 1, "seed of all random numbers");
DEFINE_uint32(seconds, 600, "simulated seconds");

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kInstances = 18;
constexpr unsigned kTargets = 39;
constexpr unsigned kSlots = 7;
constexpr double kRate = 1500;
constexpr double kServiceMs = 20;

struct Scenario
{
  std::string mName;
  bool mQuarantine = true;
  /// Time from a failed or refused answer to the caller's retry.
  Duration mRetryDelay = 500ms;
  /// The answer is held until all instances have received the crash report.
  bool mIsAnswerHeld = true;
  /// Mean seconds between poison requests, and between other target crashes.
  double mMeanPoisonInterval = 20;
  double mMeanCrashInterval = 30;
};

struct RequestRun
{
  RequestFingerprint mRequest;
  bool mIsPoison = false;
  bool mIsSuspectRun = false;
  unsigned mTarget = 0;
  unsigned mOwner = 0;
  unsigned mSuspectInstance = 0;
  unsigned mRetries = 0;
};

class Model
{
public:
  explicit Model(Scenario aScenario)
    : mScenario(std::move(aScenario))
    , mRandom(FLAGS_seed)
    , mInFlight(kTargets)
  {
    for (unsigned i = 0; i < kInstances; ++i) {
      mNames.push_back(InstanceName("i" + std::to_string(i)));
      mQuarantines.push_back(std::make_unique<CrashQuarantine>());
    }
  }

  void Simulate()
  {
    ScheduleRequest();
    SchedulePoison();
    ScheduleCrash();
    while (!mEvents.empty() &&
           mEvents.top().mAt < TimePoint(FLAGS_seconds * 1s)) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
    unsigned maxEarly = 0;
    unsigned overTwo = 0;
    unsigned lost = 0;
    for (const auto& [request, times] : mLost) {
      // Losses after 60 s follow the end of a quarantine.
      unsigned early = 0;
      for (const auto& it : times) {
        early += it - times[0] < 60s ? 1 : 0;
      }
      maxEarly = std::max(maxEarly, early);
      overTwo += early > 2 ? 1 : 0;
      lost += unsigned(times.size());
    }
    std::printf("| %s | %u | %.2f | %u | %u | %.2f | %u | %u | %.1f | %u |\n",
                mScenario.mName.c_str(),
                mPoisons,
                double(lost) / std::max(1u, mPoisons),
                maxEarly,
                overTwo,
                double(lost) / std::max(1u, mPoisons) / (FLAGS_seconds / 60.0),
                mCrashes,
                unsigned(mQuarantinedHarmless.size()),
                ToSeconds(mMaxHarmlessQuarantineTime),
                unsigned(mDelayedHarmless.size()));
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
  using RequestRunPtr = std::shared_ptr<RequestRun>;

  void After(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, mOrder++, std::move(aAction) });
  }

  // Three regions of six instances.
  static Duration Latency(unsigned aFrom, unsigned aTo)
  {
    return aFrom / 6 == aTo / 6 ? Duration(500us) : Duration(55ms);
  }

  void ScheduleRequest()
  {
    After(FromSeconds(mRandom.Exponential(1 / kRate)), [this] {
      auto run = std::make_shared<RequestRun>();
      run->mRequest = { ++mNumber };
      Receive(run);
      ScheduleRequest();
    });
  }

  void SchedulePoison()
  {
    After(FromSeconds(mRandom.Exponential(mScenario.mMeanPoisonInterval)),
          [this] {
            auto run = std::make_shared<RequestRun>();
            run->mRequest = { ++mNumber };
            run->mIsPoison = true;
            ++mPoisons;
            Receive(run);
            SchedulePoison();
          });
  }

  void ScheduleCrash()
  {
    After(FromSeconds(mRandom.Exponential(mScenario.mMeanCrashInterval)),
          [this] {
            ++mCrashes;
            Crash(unsigned(mRandom.Below(kTargets)));
            ScheduleCrash();
          });
  }

  // A caller sends or retries the request at any instance.
  void Receive(const RequestRunPtr& aRun)
  {
    const unsigned receiver = unsigned(mRandom.Below(kInstances));
    if (!mScenario.mQuarantine) {
      Dispatch(aRun, receiver);
      return;
    }
    switch (mQuarantines[receiver]->Check(aRun->mRequest, mNow)) {
      case CrashQuarantine::Verdict::Free:
        Dispatch(aRun, receiver);
        break;
      case CrashQuarantine::Verdict::Suspect:
        SendToSuspectInstance(aRun, receiver);
        break;
      case CrashQuarantine::Verdict::Quarantined:
        Refuse(aRun);
        break;
    }
  }

  void Refuse(const RequestRunPtr& aRun)
  {
    if (!aRun->mIsPoison) {
      mQuarantinedHarmless.emplace(aRun->mRequest, mNow);
    }
    // Callers retry a refused request only while its answer is of use to them,
    // modelled as fewer than 400 retries.
    if (++aRun->mRetries < 400) {
      After(mScenario.mRetryDelay, [=, this] { Receive(aRun); });
    }
  }

  void SendToSuspectInstance(const RequestRunPtr& aRun, unsigned aFrom)
  {
    const auto* name = FirstByRendezvous(aRun->mRequest.Text(), mNames);
    const unsigned suspectInstance =
      unsigned(std::find(mNames.begin(), mNames.end(), *name) - mNames.begin());
    After(Latency(aFrom, suspectInstance), [=, this] {
      auto& quarantine = *mQuarantines[suspectInstance];
      const auto verdict = quarantine.Check(aRun->mRequest, mNow);
      if (verdict == CrashQuarantine::Verdict::Quarantined) {
        Refuse(aRun);
        return;
      }
      const unsigned target = SelectTarget();
      if (verdict == CrashQuarantine::Verdict::Free) {
        Dispatch(aRun, suspectInstance);
      } else if (quarantine.TryStartSuspect(
                   aRun->mRequest, Name(target), mNow)) {
        aRun->mIsSuspectRun = true;
        aRun->mSuspectInstance = suspectInstance;
        aRun->mTarget = target;
        Start(aRun);
      } else {
        After(100ms,
              [=, this] { SendToSuspectInstance(aRun, suspectInstance); });
      }
    });
  }

  static TargetName Name(unsigned aTarget)
  {
    return TargetName("t" + std::to_string(aTarget));
  }

  unsigned SelectTarget()
  {
    unsigned best = unsigned(mRandom.Below(kTargets));
    const unsigned other = unsigned(mRandom.Below(kTargets));
    return mInFlight[other].size() < mInFlight[best].size() ? other : best;
  }

  // The target's slot owner checks the request again.
  void Dispatch(const RequestRunPtr& aRun, unsigned aFrom)
  {
    aRun->mIsSuspectRun = false;
    aRun->mTarget = SelectTarget();
    const unsigned owner = aRun->mTarget % kInstances;
    After(Latency(aFrom, owner), [=, this] {
      const auto verdict = mScenario.mQuarantine
                             ? mQuarantines[owner]->Check(aRun->mRequest, mNow)
                             : CrashQuarantine::Verdict::Free;
      if (verdict == CrashQuarantine::Verdict::Free) {
        Start(aRun);
      } else if (verdict == CrashQuarantine::Verdict::Suspect) {
        SendToSuspectInstance(aRun, owner);
      } else {
        Refuse(aRun);
      }
    });
  }

  void Start(const RequestRunPtr& aRun)
  {
    auto& inFlight = mInFlight[aRun->mTarget];
    std::vector<RequestFingerprint> others;
    for (const auto& it : inFlight) {
      others.push_back(it->mRequest);
    }
    const auto& owner = *mQuarantines[aRun->mTarget % kInstances];
    if (inFlight.size() >= kSlots ||
        (aRun->mIsSuspectRun && owner.HasSuspect(others))) {
      if (aRun->mIsSuspectRun) {
        mQuarantines[aRun->mSuspectInstance]->OnSuspectRunEnded(aRun->mRequest);
      }
      After(20ms, [=, this] { Receive(aRun); });
      return;
    }
    inFlight.push_back(aRun);
    After(FromSeconds(mRandom.Exponential(kServiceMs) / 1e3), [=, this] {
      auto& running = mInFlight[aRun->mTarget];
      const auto it = std::find(running.begin(), running.end(), aRun);
      if (it == running.end()) {
        return; // The target crashed.
      }
      if (aRun->mIsPoison) {
        mLost[aRun->mRequest].push_back(mNow);
        Crash(aRun->mTarget);
        return;
      }
      running.erase(it);
      Complete(aRun);
    });
  }

  void Complete(const RequestRunPtr& aRun)
  {
    auto since = mQuarantinedHarmless.find(aRun->mRequest);
    if (since != mQuarantinedHarmless.end()) {
      mMaxHarmlessQuarantineTime =
        std::max(mMaxHarmlessQuarantineTime, mNow - since->second);
    }
    const unsigned owner = aRun->mTarget % kInstances;
    if (mQuarantines[owner]->OnCompleted(aRun->mRequest)) {
      for (unsigned i = 0; i < kInstances; ++i) {
        After(Latency(owner, i),
              [=, this] { mQuarantines[i]->OnCleared(aRun->mRequest); });
      }
    }
  }

  void Crash(unsigned aTarget)
  {
    const auto lost = std::exchange(mInFlight[aTarget], {});
    const unsigned owner = aTarget % kInstances;
    CrashReport report{ .mId = { .mObserver = mNames[owner],
                                 .mNumber = ++mCrashNumber },
                        .mInFlight = {} };
    for (const auto& it : lost) {
      report.mInFlight.push_back(it->mRequest);
    }
    if (mScenario.mQuarantine) {
      for (unsigned i = 0; i < kInstances; ++i) {
        After(Latency(owner, i),
              [=, this] { mQuarantines[i]->OnCrash(report, mNow); });
      }
    }
    for (const auto& it : lost) {
      const Duration answerDelay = mScenario.mIsAnswerHeld ? 110ms : 0ms;
      if (!it->mIsPoison) {
        mDelayedHarmless.insert(it->mRequest);
      }
      if (++it->mRetries < 400) {
        After(answerDelay + mScenario.mRetryDelay, [=, this] { Receive(it); });
      }
    }
  }

  Scenario mScenario;
  Random mRandom;
  TimePoint mNow{};
  uint64_t mOrder = 0;
  uint64_t mNumber = 0;
  uint64_t mCrashNumber = 0;
  std::priority_queue<Event> mEvents;
  std::vector<InstanceName> mNames;
  std::vector<std::unique_ptr<CrashQuarantine>> mQuarantines;
  std::vector<std::vector<RequestRunPtr>> mInFlight;
  unsigned mPoisons = 0;
  unsigned mCrashes = 0;
  std::map<RequestFingerprint, std::vector<TimePoint>> mLost;
  std::map<RequestFingerprint, TimePoint> mQuarantinedHarmless;
  std::set<RequestFingerprint> mDelayedHarmless;
  Duration mMaxHarmlessQuarantineTime{};
};

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("| scenario | poison requests | targets lost for each | max "
              "within 60 s | over two within 60 s | lost for each a minute | "
              "other crashes | harmless quarantined | max wait s | "
              "harmless in a crash |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
  const Scenario scenarios[] = {
    { .mName = "no quarantine", .mQuarantine = false },
    { .mName = "quarantine, repeat after 500 ms" },
    { .mName = "quarantine, repeat at once", .mRetryDelay = 2ms },
    { .mName = "quarantine, repeat at once, answer not held",
      .mRetryDelay = 2ms,
      .mIsAnswerHeld = false },
    { .mName = "quarantine, other crashes every 3 s", .mMeanCrashInterval = 3 },
    { .mName = "quarantine, poison every 3 s", .mMeanPoisonInterval = 3 },
  };
  for (const auto& it : scenarios) {
    Model(it).Simulate();
  }
  return 0;
}
