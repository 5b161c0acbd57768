#include "TargetReachability.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

#include <queue>
#include <string>
#include <vector>

using namespace pollenway;
using namespace pollenway::sample;
using namespace std::chrono_literals;

namespace {

/// What new connections do while a path is cut.
enum class CutKind
{
  Hang,
  Refuse,
  /// Open connections work, new ones are refused.
  RefuseNew,
};

/// An instance that sends requests to targets and whose paths can be cut.
class PathModel
{
public:
  PathModel(int aTargets, int aServices, int aZones, uint64_t aSeed)
    : mReachability(aSeed)
    , mRandom(aSeed)
    , mServices(aServices)
  {
    for (int n = 0; n < aTargets; ++n) {
      mTargets.push_back({ TargetName("t" + std::to_string(n)), n });
      mReachability.Put(mTargets.back().mName,
                        ServiceName("s" + std::to_string(n % aServices)),
                        ZoneName("z" + std::to_string(n / aServices % aZones)));
    }
    mReachability.OnChanged([this] { ++mChanges; });
  }

  /// Runs the instance until `aEnd`, with `aRate` requests a second.
  void RunUntil(TimePoint aEnd, double aRate)
  {
    constexpr Duration kStep = 10ms;
    for (; mNow < aEnd; mNow += kStep) {
      while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
        const auto event = mEvents.top();
        mEvents.pop();
        event.mAction();
      }
      while (const auto probe = mReachability.NextProbe(mNow)) {
        ++mProbes;
        Connect(Find(*probe), [] {});
      }
      for (mDue += aRate * ToSeconds(kStep); mDue >= 1; mDue -= 1) {
        ++mRequests;
        if (mReachability.UseDirectPath(mNow)) {
          ++mDirect;
          Send(int(mRandom.Below(uint64_t(mServices))), 0);
        }
      }
      if (mReachability.IsIsolated(mNow)) {
        mIsolatedTime += kStep;
        mFirstIsolatedAt = mFirstIsolatedAt.value_or(mNow);
      } else {
        mLastWholeAt = mNow;
      }
    }
  }

  struct Target
  {
    TargetName mName;
    int mNumber;
    bool mIsDead = false;
    /// True if the instance's path to it is not cut with the others.
    bool mIsSpared = false;
    bool mHasConnection = false;
  };

  TargetReachability mReachability;
  std::vector<Target> mTargets;
  std::optional<CutKind> mCut;
  /// True if dead targets don't answer, instead of refusing connections.
  bool mDeadAreSilent = false;
  Duration mAnswerTime = 60ms;
  TimePoint mNow = At(0);
  std::optional<TimePoint> mFirstIsolatedAt;
  TimePoint mLastWholeAt{};
  Duration mIsolatedTime{};
  int mChanges = 0;
  int mProbes = 0;
  int mRequests = 0;
  int mDirect = 0;

private:
  struct Event
  {
    TimePoint mAt;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const { return mAt > aOther.mAt; }
  };

  Target& Find(const TargetName& aName)
  {
    for (auto& it : mTargets) {
      if (it.mName == aName) {
        return it;
      }
    }
    FAIL("unknown target");
    return mTargets.front();
  }

  void After(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, std::move(aAction) });
  }

  void Connect(Target& aTarget, std::function<void()> aOnFailed)
  {
    const bool isCut = mCut && !aTarget.mIsSpared;
    if (!isCut && !aTarget.mIsDead) {
      const Duration roundTrip = (aTarget.mNumber % 2 ? 1 : 110) * 1ms;
      After(roundTrip, [this, &aTarget] {
        aTarget.mHasConnection = true;
        mReachability.OnConnected(aTarget.mName, mNow);
      });
      return;
    }
    const bool hangs = isCut ? mCut == CutKind::Hang : mDeadAreSilent;
    After(hangs ? 400ms : 1ms, [this, &aTarget, aOnFailed] {
      mReachability.OnConnectFailed(aTarget.mName, mNow);
      aOnFailed();
    });
  }

  void Send(int aService, int aFailures)
  {
    std::vector<Target*> candidates;
    for (auto& it : mTargets) {
      if (it.mNumber % mServices == aService) {
        candidates.push_back(&it);
      }
    }
    auto& target = *candidates[mRandom.Below(candidates.size())];
    mReachability.OnAttempt(target.mName, mNow);
    if (!target.mHasConnection) {
      Connect(target, [this, aService, aFailures] {
        if (aFailures < 3) {
          Send(aService, aFailures + 1);
        }
      });
      return;
    }
    const bool isCut = mCut && mCut != CutKind::RefuseNew && !target.mIsSpared;
    if (isCut || target.mIsDead) {
      target.mHasConnection = false;
      const bool hangs = isCut ? mCut == CutKind::Hang : mDeadAreSilent;
      After(hangs ? 1s : 1ms, [this, &target] {
        mReachability.OnExchangeLost(target.mName, mNow);
      });
      return;
    }
    // A connection may be in use by another request.
    target.mHasConnection = !mRandom.Chance(0.3);
    After(mAnswerTime,
          [this, &target] { mReachability.OnAnswer(target.mName, mNow); });
  }

  Random mRandom;
  int mServices;
  /// Requests that are due; the next one is sent at 1.
  double mDue = 0;
  std::priority_queue<Event> mEvents;
};

} // namespace

// Guards against callers of an instance without paths to targets who wait and
// fail, because the loss is noticed late, or not at all on a quiet instance, in
// a small deployment, or while old connections or a single target still work.
TEST_CASE("an instance that loses its paths to all targets is isolated soon")
{
  struct Row
  {
    int mTargets;
    int mServices;
    int mZones;
    double mRate;
    int mSpared;
    /// Longest time from the cut to the decision.
    Duration mMaxDelay;
  };
  const Row rows[] = {
    { 2, 1, 1, 10, 0, 1s },    { 2, 2, 1, 10, 0, 1s },
    { 3, 1, 2, 10, 0, 1s },    { 3, 3, 1, 10, 0, 1s },
    { 8, 2, 2, 10, 0, 1s },    { 40, 4, 4, 10, 0, 1s },
    { 40, 4, 4, 10, 1, 1s },   { 300, 8, 6, 10, 0, 1s },
    { 40, 4, 4, 200, 0, 1s },  { 2, 1, 1, 0, 0, 2500ms },
    { 8, 2, 2, 0, 0, 2500ms }, { 40, 4, 4, 0.5, 0, 2500ms },
  };
  for (const auto& row : rows) {
    for (const auto kind : { CutKind::Hang, CutKind::Refuse }) {
      for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(row.mTargets);
        CAPTURE(row.mServices);
        CAPTURE(row.mRate);
        CAPTURE(int(kind));
        CAPTURE(seed);
        PathModel model(row.mTargets, row.mServices, row.mZones, seed);
        model.RunUntil(At(10), row.mRate);
        CHECK_FALSE(model.mFirstIsolatedAt);
        for (int n = 0; n < row.mSpared; ++n) {
          model.mTargets[size_t(n)].mIsSpared = true;
        }
        model.mCut = kind;
        model.RunUntil(At(20), row.mRate);
        REQUIRE(model.mFirstIsolatedAt);
        CHECK(ToSeconds(*model.mFirstIsolatedAt - At(10)) <=
              ToSeconds(row.mMaxDelay));
        CHECK(model.mReachability.IsIsolated(model.mNow));
        CHECK(model.mChanges == 1);
        CHECK_FALSE(model.mReachability.ReachesTargets(model.mNow));
      }
    }
  }
}

// Guards against an instance that counts answers on old connections as proof
// that new ones work.
TEST_CASE("answers on open connections don't hide that new ones are refused")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    PathModel model(20, 2, 2, seed);
    model.RunUntil(At(10), 50);
    model.mCut = CutKind::RefuseNew;
    model.RunUntil(At(12), 50);
    CHECK(model.mReachability.IsIsolated(model.mNow));
  }
}

// Guards against an instance that gives up its own paths because targets have
// crashed: one of two, one service, a zone, or most of them.
TEST_CASE("dead targets don't isolate an instance")
{
  struct Row
  {
    std::string mCase;
    int mTargets;
    int mServices;
    int mZones;
    std::function<bool(int)> mIsDead;
  };
  const Row rows[] = {
    { "one of two", 2, 1, 1, [](int aNumber) { return aNumber == 0; } },
    { "one of three", 3, 3, 1, [](int aNumber) { return aNumber == 1; } },
    { "the only one", 1, 1, 1, [](int) { return true; } },
    { "one service", 40, 4, 4, [](int aNumber) { return aNumber % 4 == 0; } },
    { "one of two services",
      16,
      2,
      2,
      [](int aNumber) { return aNumber % 2 == 0; } },
    { "one zone", 40, 2, 2, [](int aNumber) { return aNumber / 2 % 2 == 0; } },
    { "two of four zones",
      40,
      2,
      4,
      [](int aNumber) { return aNumber / 2 % 4 < 2; } },
    { "four of ten",
      40,
      4,
      4,
      [](int aNumber) { return aNumber * 7 % 10 < 4; } },
  };
  for (const auto& row : rows) {
    for (const bool isSilent : { false, true }) {
      for (const double rate : { 0.5, 10.0, 100.0 }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
          CAPTURE(row.mCase);
          CAPTURE(isSilent);
          CAPTURE(rate);
          CAPTURE(seed);
          PathModel model(row.mTargets, row.mServices, row.mZones, seed);
          model.mDeadAreSilent = isSilent;
          model.RunUntil(At(5), rate);
          for (auto& it : model.mTargets) {
            it.mIsDead = row.mIsDead(it.mNumber);
          }
          model.RunUntil(At(25), rate);
          CHECK_FALSE(model.mFirstIsolatedAt);
        }
      }
    }
  }
}

// Guards against all callers of an instance moving back at once, and against an
// instance that is never used again because some targets have died meanwhile.
TEST_CASE("direct requests come back gradually")
{
  struct Row
  {
    int mTargets;
    int mServices;
    int mZones;
    int mDead;
    /// Longest time from the end of the cut to the end of the isolation.
    Duration mMaxDelay;
  };
  const Row rows[] = { { 2, 1, 1, 0, 3s },  { 2, 1, 1, 1, 12s },
                       { 3, 3, 1, 0, 3s },  { 40, 4, 4, 0, 3s },
                       { 40, 4, 4, 8, 4s }, { 300, 8, 6, 0, 3s } };
  for (const auto& row : rows) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(row.mTargets);
      CAPTURE(row.mDead);
      CAPTURE(seed);
      PathModel model(row.mTargets, row.mServices, row.mZones, seed);
      model.RunUntil(At(10), 50);
      model.mCut = CutKind::Hang;
      model.RunUntil(At(20), 50);
      REQUIRE(model.mReachability.IsIsolated(model.mNow));
      for (int n = 0; n < row.mDead; ++n) {
        model.mTargets[size_t(n)].mIsDead = true;
      }
      model.mCut.reset();
      while (model.mReachability.IsIsolated(model.mNow) &&
             model.mNow < At(60)) {
        model.RunUntil(model.mNow + 10ms, 50);
      }
      const TimePoint returnedAt = model.mNow;
      CHECK(returnedAt - At(20) >= 1s);
      CHECK(returnedAt - At(20) <= row.mMaxDelay);
      CHECK_FALSE(model.mReachability.ReachesTargets(returnedAt));
      model.mRequests = model.mDirect = 0;
      model.RunUntil(returnedAt + 500ms, 400);
      CHECK(model.mDirect < model.mRequests * 0.3);
      model.RunUntil(returnedAt + 3s, 400);
      model.mRequests = model.mDirect = 0;
      model.RunUntil(returnedAt + 4s, 400);
      CHECK(model.mDirect == model.mRequests);
      CHECK(model.mReachability.ReachesTargets(model.mNow));
      CHECK(model.mChanges == 2);
    }
  }
}

// Guards against callers that move at each turn of a flapping path, and against
// one good target or service that counts as proof of the whole path.
TEST_CASE("an isolation ends later each time, and only by several targets")
{
  PathModel model(40, 4, 4, 1);
  model.RunUntil(At(10), 50);
  std::vector<double> delays;
  for (int n = 0; n < 5; ++n) {
    model.mCut = CutKind::Refuse;
    model.RunUntil(model.mNow + 3s, 50);
    REQUIRE(model.mReachability.IsIsolated(model.mNow));
    model.mCut.reset();
    const TimePoint begin = model.mNow;
    while (model.mReachability.IsIsolated(model.mNow)) {
      model.RunUntil(model.mNow + 10ms, 50);
    }
    delays.push_back(ToSeconds(model.mNow - begin));
    model.RunUntil(model.mNow + 4s, 50);
  }
  CHECK(delays[1] > 1.7 * delays[0]);
  CHECK(delays[2] > 1.7 * delays[1]);
  CHECK(delays[4] < 9);
  model.mCut = CutKind::Hang;
  model.RunUntil(model.mNow + 3s, 50);
  for (auto& it : model.mTargets) {
    it.mIsSpared = it.mNumber % 4 == 0;
  }
  model.RunUntil(model.mNow + 60s, 50);
  CHECK(model.mReachability.IsIsolated(model.mNow));
}

// Guards against tests that load the targets, and against any before there are
// targets or at targets that have left.
TEST_CASE("the number of tests is bounded")
{
  TargetReachability empty(1);
  CHECK_FALSE(empty.NextProbe(At(0)));
  empty.OnConnectFailed(TargetName("t"), At(0));
  CHECK_FALSE(empty.IsIsolated(At(0)));
  empty.Put(TargetName("t"), ServiceName("s"), ZoneName("z"));
  empty.Remove(TargetName("t"));
  CHECK_FALSE(empty.NextProbe(At(5)));
  for (const int targets : { 2, 40, 300 }) {
    CAPTURE(targets);
    PathModel model(targets, 2, 2, 1);
    model.RunUntil(At(20), 0);
    CHECK(model.mProbes <= 21);
    model.mCut = CutKind::Refuse;
    model.RunUntil(At(22), 0);
    model.mProbes = 0;
    model.RunUntil(At(32), 0);
    CHECK(model.mReachability.IsIsolated(model.mNow));
    CHECK(model.mProbes <= 10 * 20);
  }
  for (const double rate : { 0.5, 10.0, 200.0 }) {
    CAPTURE(rate);
    PathModel model(40, 2, 2, 1);
    model.mAnswerTime = 400ms;
    model.RunUntil(At(20), rate);
    CHECK(model.mProbes <= 20 * 4);
  }
}
