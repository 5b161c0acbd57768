#include "TrafficShift.h"
#include "MixHash.h"
#include "Random.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

using std::chrono::seconds;

ShiftDeclaration MakeShift()
{
  ShiftDeclaration out;
  out.mName = ShiftName("to-wlg");
  out.mService = ServiceName("lookup");
  out.mFrom = RegionName("akl");
  out.mTo = RegionName("wlg");
  out.mState = ShiftState::Running;
  return out;
}

struct Callers
{
  std::vector<double> mPositions;
  std::vector<double> mRates;
  ShiftDemand mDemand;

  explicit Callers(uint64_t aSeed)
  {
    Random random(aSeed);
    const uint64_t hash = TrafficShift::HashOfShift(MakeShift().mName);
    for (int i = 0; i < 5000; ++i) {
      mPositions.push_back(TrafficShift::PositionOf(random.Next(), hash));
      mRates.push_back(random.Exponential(1));
      mDemand.Add(mPositions.back(), mRates.back());
    }
  }

  /// Returns the load of the callers that are moved under `aTo` but not under
  /// `aFrom`.
  double Moved(const ShiftDeclaration& aFrom, const ShiftDeclaration& aTo) const
  {
    double sum = 0;
    for (size_t i = 0; i < mPositions.size(); ++i) {
      const bool before = TrafficShift::IsMoved(aFrom, mPositions[i]);
      const bool after = TrafficShift::IsMoved(aTo, mPositions[i]);
      REQUIRE((!before || after));
      sum += after && !before ? mRates[i] : 0;
    }
    return sum;
  }
};

ShiftConditions GoodConditions(const Callers& aCallers)
{
  ShiftConditions out;
  out.mFreeShare = 0.5;
  out.mDemand = aCallers.mDemand;
  return out;
}

} // namespace

// Guards against a step that moves more load than its caps, and against callers
// that move back while the share grows. Also guards against instances at steps
// n and n+1 that together exceed the cap: they differ only in the callers of
// one step.
TEST_CASE("each step stays within its caps for random callers")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Random random(seed + 100);
    const Callers callers(seed);
    ShiftDeclaration shift = MakeShift();
    shift.mStepCap = 0.02 + 0.3 * random.Uniform();
    shift.mFinalShare = 0.3 + 0.7 * random.Uniform();
    shift.mRateCap = seed % 2 ? 0 : callers.mDemand.Total() * random.Uniform();
    const ShiftDeclaration start = shift;
    TrafficShift driver(shift.mName);
    TimePoint now;
    int steps = 0;
    for (uint64_t generation = 1; generation < 200; ++generation) {
      driver.Apply(shift, generation, now);
      REQUIRE(driver.Evaluate(GoodConditions(callers), now).mKind !=
              ShiftActionKind::Step);
      now += shift.mPace;
      const ShiftAction action = driver.Evaluate(GoodConditions(callers), now);
      if (action.mKind != ShiftActionKind::Step) {
        break;
      }
      REQUIRE(action.mExpectedGeneration == generation);
      const double total = callers.mDemand.Total();
      REQUIRE(callers.Moved(shift, action.mNext) <=
              shift.mStepCap * total * (1 + 1e-9));
      REQUIRE(action.mNext.mShare <= shift.mFinalShare);
      if (shift.mRateCap > 0) {
        REQUIRE(callers.Moved(start, action.mNext) <=
                shift.mRateCap * (1 + 1e-9));
      }
      shift = action.mNext;
      ++steps;
    }
    if (shift.mRateCap <= 0) {
      CHECK(shift.mShare == shift.mFinalShare);
      CHECK(steps >= int(shift.mFinalShare / shift.mStepCap));
    }
  }
}

// Guards against a shift that continues without headroom, with errors or with
// cold caches, and against a pause after only one such evaluation.
TEST_CASE("a shift pauses on a stop condition that is seen twice")
{
  const Callers callers(1);
  struct Row
  {
    ShiftConditions mConditions;
    const char* mReason;
  };
  Row rows[] = { { GoodConditions(callers), "destination has lost headroom" },
                 { GoodConditions(callers),
                   "too many errors at the destination" },
                 { GoodConditions(callers), "destination's caches are cold" } };
  rows[0].mConditions.mFreeShare = 0.05;
  rows[1].mConditions.mRequests = 100;
  rows[1].mConditions.mFailures = 3;
  rows[2].mConditions.mColdShare = 0.5;
  for (const auto& row : rows) {
    CAPTURE(row.mReason);
    ShiftDeclaration shift = MakeShift();
    shift.mShare = 0.3;
    TrafficShift driver(shift.mName);
    driver.Apply(shift, 5, TimePoint());
    const TimePoint now = TimePoint() + seconds(60);
    CHECK(driver.Evaluate(row.mConditions, now).mKind == ShiftActionKind::None);
    const auto action = driver.Evaluate(row.mConditions, now + seconds(1));
    REQUIRE(action.mKind == ShiftActionKind::Pause);
    CHECK(action.mNext.mState == ShiftState::Paused);
    CHECK(action.mNext.mReason == row.mReason);
    CHECK(action.mNext.mShare == shift.mShare);
    const auto resumed = TrafficShift::Resume(action.mNext);
    REQUIRE(resumed);
    CHECK(resumed.value().mState == ShiftState::Running);
  }
}

// Guards against treating a proposed step as made while the store is down, and
// against a step without measurements.
TEST_CASE("a shift stays at its step without the store or measurements")
{
  const Callers callers(1);
  ShiftDeclaration shift = MakeShift();
  shift.mShare = 0.2;
  TrafficShift driver(shift.mName);
  driver.Apply(shift, 5, TimePoint());
  TimePoint now = TimePoint() + shift.mPace;
  ShiftConditions unmeasured = GoodConditions(callers);
  unmeasured.mFreeShare.reset();
  CHECK(driver.Evaluate(unmeasured, now).mWaitReason == "measurement");
  const ShiftAction first = driver.Evaluate(GoodConditions(callers), now);
  REQUIRE(first.mKind == ShiftActionKind::Step);
  for (int i = 0; i < 100; ++i) {
    now += seconds(1);
    const ShiftAction again = driver.Evaluate(GoodConditions(callers), now);
    if (again.mKind != ShiftActionKind::None) {
      CHECK(again.mExpectedGeneration == 5);
      CHECK(again.mNext.mShare == first.mNext.mShare);
    }
  }
  // A declaration of an older generation is ignored.
  driver.Apply(first.mNext, 6, now);
  driver.Apply(shift, 5, now);
  now += shift.mPace;
  CHECK(driver.Evaluate(GoodConditions(callers), now).mNext.mShare >
        first.mNext.mShare);
}
