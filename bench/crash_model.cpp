// Seeded model of requests that crash the targets that run them, over the real
// CrashQuarantine of each instance. Announcements between instances take time;
// callers send a failed request again, at any instance. Prints one Markdown
// table. Usage: crash_model [--seed=N] [--seconds=N]

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

DEFINE_uint64(seed, 1, "seed of all chance");
DEFINE_uint32(seconds, 600, "modelled time");

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
  /// Time until the caller learns of the failure and sends again.
  Duration mRepeatAfter = 500ms;
  /// The answer waits until the announcement has arrived everywhere.
  bool mHoldAnswer = true;
  /// Mean time between poison requests and between other crashes of a target.
  double mPoisonEvery = 20;
  double mCrashEvery = 30;
};

struct Run
{
  RequestFingerprint mRequest;
  bool mIsPoison = false;
  bool mIsSuspectRun = false;
  unsigned mTarget = 0;
  unsigned mOwner = 0;
  unsigned mSelected = 0;
  unsigned mRepeats = 0;
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
    NextRequest();
    NextPoison();
    NextCrash();
    while (!mEvents.empty() &&
           mEvents.top().mAt < TimePoint(FLAGS_seconds * 1s)) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mDo();
    }
    unsigned most = 0;
    unsigned overTwo = 0;
    unsigned lost = 0;
    for (const auto& [request, times] : mLost) {
      // Later losses follow the end of a quarantine.
      unsigned early = 0;
      for (const auto& it : times) {
        early += it - times[0] < 60s ? 1 : 0;
      }
      most = std::max(most, early);
      overTwo += early > 2 ? 1 : 0;
      lost += unsigned(times.size());
    }
    std::printf("| %s | %u | %.2f | %u | %u | %.2f | %u | %u | %.1f | %u |\n",
                mScenario.mName.c_str(),
                mPoisons,
                double(lost) / std::max(1u, mPoisons),
                most,
                overTwo,
                double(lost) / std::max(1u, mPoisons) / (FLAGS_seconds / 60.0),
                mCrashes,
                unsigned(mQuarantinedInnocents.size()),
                ToSeconds(mLongestInnocent),
                unsigned(mDelayedInnocents.size()));
  }

private:
  struct Event
  {
    TimePoint mAt;
    uint64_t mOrder;
    std::function<void()> mDo;

    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };
  using RunPtr = std::shared_ptr<Run>;

  void After(Duration aDelay, std::function<void()> aDo)
  {
    mEvents.push({ mNow + aDelay, mOrder++, std::move(aDo) });
  }

  // Three regions of six instances.
  static Duration Latency(unsigned aFrom, unsigned aTo)
  {
    return aFrom / 6 == aTo / 6 ? Duration(500us) : Duration(55ms);
  }

  void NextRequest()
  {
    After(FromSeconds(mRandom.Exponential(1 / kRate)), [this] {
      auto run = std::make_shared<Run>();
      run->mRequest = { ++mNumber };
      Receive(run);
      NextRequest();
    });
  }

  void NextPoison()
  {
    After(FromSeconds(mRandom.Exponential(mScenario.mPoisonEvery)), [this] {
      auto run = std::make_shared<Run>();
      run->mRequest = { ++mNumber };
      run->mIsPoison = true;
      ++mPoisons;
      Receive(run);
      NextPoison();
    });
  }

  void NextCrash()
  {
    After(FromSeconds(mRandom.Exponential(mScenario.mCrashEvery)), [this] {
      ++mCrashes;
      Crash(unsigned(mRandom.Below(kTargets)));
      NextCrash();
    });
  }

  // A caller sends the request, first or again, to any instance.
  void Receive(const RunPtr& aRun)
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
        ToSelected(aRun, receiver);
        break;
      case CrashQuarantine::Verdict::Quarantined:
        Refuse(aRun);
        break;
    }
  }

  void Refuse(const RunPtr& aRun)
  {
    if (!aRun->mIsPoison) {
      mQuarantinedInnocents.emplace(aRun->mRequest, mNow);
    }
    // Callers repeat a refused request for as long as it is of use to them.
    if (++aRun->mRepeats < 400) {
      After(mScenario.mRepeatAfter, [=, this] { Receive(aRun); });
    }
  }

  void ToSelected(const RunPtr& aRun, unsigned aFrom)
  {
    const auto* name = FirstByRendezvous(aRun->mRequest.Text(), mNames);
    const unsigned selected =
      unsigned(std::find(mNames.begin(), mNames.end(), *name) - mNames.begin());
    After(Latency(aFrom, selected), [=, this] {
      auto& quarantine = *mQuarantines[selected];
      const auto verdict = quarantine.Check(aRun->mRequest, mNow);
      if (verdict == CrashQuarantine::Verdict::Quarantined) {
        Refuse(aRun);
        return;
      }
      const unsigned target = PickTarget();
      if (verdict == CrashQuarantine::Verdict::Free) {
        Dispatch(aRun, selected);
      } else if (quarantine.TryStartSuspect(
                   aRun->mRequest, Name(target), mNow)) {
        aRun->mIsSuspectRun = true;
        aRun->mSelected = selected;
        aRun->mTarget = target;
        Start(aRun);
      } else {
        After(100ms, [=, this] { ToSelected(aRun, selected); });
      }
    });
  }

  static TargetName Name(unsigned aTarget)
  {
    return TargetName("t" + std::to_string(aTarget));
  }

  unsigned PickTarget()
  {
    unsigned best = unsigned(mRandom.Below(kTargets));
    const unsigned other = unsigned(mRandom.Below(kTargets));
    return mInFlight[other].size() < mInFlight[best].size() ? other : best;
  }

  // The target's slot owner checks once more.
  void Dispatch(const RunPtr& aRun, unsigned aFrom)
  {
    aRun->mIsSuspectRun = false;
    aRun->mTarget = PickTarget();
    const unsigned owner = aRun->mTarget % kInstances;
    After(Latency(aFrom, owner), [=, this] {
      const auto verdict = mScenario.mQuarantine
                             ? mQuarantines[owner]->Check(aRun->mRequest, mNow)
                             : CrashQuarantine::Verdict::Free;
      if (verdict == CrashQuarantine::Verdict::Free) {
        Start(aRun);
      } else if (verdict == CrashQuarantine::Verdict::Suspect) {
        ToSelected(aRun, owner);
      } else {
        Refuse(aRun);
      }
    });
  }

  void Start(const RunPtr& aRun)
  {
    auto& flight = mInFlight[aRun->mTarget];
    std::vector<RequestFingerprint> others;
    for (const auto& it : flight) {
      others.push_back(it->mRequest);
    }
    const auto& owner = *mQuarantines[aRun->mTarget % kInstances];
    if (flight.size() >= kSlots ||
        (aRun->mIsSuspectRun && owner.HasSuspect(others))) {
      if (aRun->mIsSuspectRun) {
        mQuarantines[aRun->mSelected]->OnSuspectRunEnded(aRun->mRequest);
      }
      After(20ms, [=, this] { Receive(aRun); });
      return;
    }
    flight.push_back(aRun);
    After(FromSeconds(mRandom.Exponential(kServiceMs) / 1e3), [=, this] {
      auto& now = mInFlight[aRun->mTarget];
      const auto it = std::find(now.begin(), now.end(), aRun);
      if (it == now.end()) {
        return; // Lost in a crash.
      }
      if (aRun->mIsPoison) {
        mLost[aRun->mRequest].push_back(mNow);
        Crash(aRun->mTarget);
        return;
      }
      now.erase(it);
      Complete(aRun);
    });
  }

  void Complete(const RunPtr& aRun)
  {
    auto since = mQuarantinedInnocents.find(aRun->mRequest);
    if (since != mQuarantinedInnocents.end()) {
      mLongestInnocent = std::max(mLongestInnocent, mNow - since->second);
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
      const Duration hold = mScenario.mHoldAnswer ? 110ms : 0ms;
      if (!it->mIsPoison) {
        mDelayedInnocents.insert(it->mRequest);
      }
      if (++it->mRepeats < 400) {
        After(hold + mScenario.mRepeatAfter, [=, this] { Receive(it); });
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
  std::vector<std::vector<RunPtr>> mInFlight;
  unsigned mPoisons = 0;
  unsigned mCrashes = 0;
  std::map<RequestFingerprint, std::vector<TimePoint>> mLost;
  std::map<RequestFingerprint, TimePoint> mQuarantinedInnocents;
  std::set<RequestFingerprint> mDelayedInnocents;
  Duration mLongestInnocent{};
};

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("| scenario | poison requests | targets lost for each | most "
              "within 60 s | over two within 60 s | lost for each a minute | "
              "other crashes | innocents quarantined | longest wait s | "
              "innocents in a crash |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
  const Scenario scenarios[] = {
    { .mName = "no quarantine", .mQuarantine = false },
    { .mName = "quarantine, repeat after 500 ms" },
    { .mName = "quarantine, repeat at once", .mRepeatAfter = 2ms },
    { .mName = "quarantine, repeat at once, answer not held",
      .mRepeatAfter = 2ms,
      .mHoldAnswer = false },
    { .mName = "quarantine, other crashes every 3 s", .mCrashEvery = 3 },
    { .mName = "quarantine, poison every 3 s", .mPoisonEvery = 3 },
  };
  for (const auto& it : scenarios) {
    Model(it).Simulate();
  }
  return 0;
}
