#include "TargetSelector.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const ZoneName kZone("akl-a");
const RegionName kRegion("akl");
const TimePoint kNow(100s);

SelectableTarget MakeTarget(const char* aName,
                            const char* aZone,
                            const char* aRegion,
                            double aLatencyMs = 0)
{
  return { .mName = TargetName(aName),
           .mZone = ZoneName(aZone),
           .mRegion = RegionName(aRegion),
           .mLatencyMs = aLatencyMs,
           .mSlots = 4 };
}

TargetSelector MakeSelector(std::vector<SelectableTarget> aTargets)
{
  TargetSelector out(kZone, kRegion);
  out.SetTargets(aTargets, kNow);
  return out;
}

void AddRequests(TargetSelector& aSelector, const char* aTarget, int aRequests)
{
  for (int i = 0; i < aRequests; ++i) {
    aSelector.OnStart(TargetName(aTarget));
  }
}

std::string SelectedName(const TargetSelector& aSelector,
                         std::vector<TargetName> aExcluded = {},
                         TimePoint aNow = kNow)
{
  Random random(1);
  auto it = aSelector.Select(aExcluded, random, aNow);
  return it ? it->Text() : "none";
}

TargetReason ReasonFor(const TargetSelector& aSelector,
                       const char* aTarget,
                       TimePoint aNow = kNow)
{
  for (const auto& it : aSelector.Assess({}, aNow)) {
    if (it.mName.Text() == aTarget) {
      return it.mReason;
    }
  }
  return TargetReason::NotLive;
}

} // namespace

// Guards against the use of distant targets while a near one has free slots,
// and against requests that wait in a full zone although another one has free
// slots.
TEST_CASE("the nearest tier with free slots is used")
{
  auto selector = MakeSelector({ MakeTarget("far", "chc-a", "chc", 80),
                                 MakeTarget("other", "wlg-a", "wlg", 55),
                                 MakeTarget("region", "akl-b", "akl"),
                                 MakeTarget("own", "akl-a", "akl") });
  CHECK(SelectedName(selector) == "own");
  CHECK(SelectedName(selector, { TargetName("own") }) == "region");
  AddRequests(selector, "own", 4);
  CHECK(SelectedName(selector) == "region");
  AddRequests(selector, "region", 4);
  CHECK(SelectedName(selector) == "other");
  AddRequests(selector, "other", 4);
  AddRequests(selector, "far", 4);
  CHECK(SelectedName(selector) == "own");
  CHECK(SelectedName(selector,
                     { TargetName("own"),
                       TargetName("region"),
                       TargetName("other"),
                       TargetName("far") }) == "none");
}

// Guards against load summaries that are counted twice, that override the
// instance's own count, or whose weight never decays.
TEST_CASE("load summaries are weighted by age and added to own requests")
{
  auto selector = MakeSelector(
    { MakeTarget("a", "akl-a", "akl"), MakeTarget("b", "akl-a", "akl") });
  AddRequests(selector, "a", 1);
  selector.OnLoadSummary(TargetName("a"), { .mLoad = 3, .mCountedAt = kNow });
  selector.OnLoadSummary(TargetName("b"), { .mLoad = 0, .mCountedAt = kNow });
  selector.OnLoadSummary(TargetName("a"),
                         { .mLoad = 0, .mCountedAt = kNow - 1s });
  CHECK(SelectedName(selector) == "b");
  CHECK(selector.Assess({}, kNow)[0].mRelativeLoad == doctest::Approx(0.75));
  CHECK(selector.Assess({}, kNow + 1s)[0].mRelativeLoad ==
        doctest::Approx((1 + 0.5 * 2 + 0.5 * 2 * std::exp2(-0.1)) / 4));
  CHECK(selector.Assess({}, kNow + 60s)[0].mRelativeLoad < 0.27);
  AddRequests(selector, "b", 4);
  CHECK(SelectedName(selector) == "a");
}

// Guards against a crashed or cold target that receives its full load at once.
TEST_CASE("cold targets start slowly")
{
  auto selector = MakeSelector({ MakeTarget("a", "akl-a", "akl") });
  CHECK(selector.Assess({}, kNow)[0].mWarmUpFraction == 1);
  selector.SetTargets(
    { MakeTarget("a", "akl-a", "akl"), MakeTarget("new", "akl-a", "akl") },
    kNow);
  CHECK(selector.Assess({}, kNow)[1].mWarmUpFraction == doctest::Approx(0.1));
  CHECK(selector.Assess({}, kNow + 10s)[1].mWarmUpFraction ==
        doctest::Approx(0.55));
  CHECK(selector.Assess({}, kNow + 20s)[1].mWarmUpFraction == 1);
  AddRequests(selector, "new", 1);
  CHECK(ReasonFor(selector, "new") == TargetReason::NoRoom);
  selector.OnCrash(TargetName("a"), kNow + 30s);
  CHECK(ReasonFor(selector, "a", kNow + 30s) == TargetReason::Ejected);
  const auto after = selector.Assess({}, kNow + 36s)[0];
  CHECK(after.mReason == TargetReason::Usable);
  CHECK(after.mWarmUpFraction < 0.2);
}

// Guards against ejections that leave too few targets, for instance when all
// fail together because of a common cause.
TEST_CASE("failing targets are ejected up to a bound")
{
  std::vector<SelectableTarget> targets;
  const char* names[] = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j" };
  for (const char* it : names) {
    targets.push_back(MakeTarget(it, "akl-a", "akl"));
  }
  auto selector = MakeSelector(targets);
  for (int i = 0; i < 5; ++i) {
    for (const char* it : names) {
      selector.OnStart(TargetName(it));
      selector.OnEnd(TargetName(it), RequestEnd::Failed, 0ms, kNow);
    }
  }
  CHECK(selector.Ejected(kNow) == 3);
  CHECK(selector.Ejected(kNow + 6s) == 0);
}

// Guards against a target that answers but is far slower than the others.
TEST_CASE("a slow target is ejected, a distant one is not")
{
  auto selector = MakeSelector({ MakeTarget("a", "akl-a", "akl"),
                                 MakeTarget("b", "akl-a", "akl"),
                                 MakeTarget("slow", "akl-a", "akl"),
                                 MakeTarget("far", "wlg-a", "wlg", 55) });
  for (int i = 0; i < 25; ++i) {
    for (const auto& [name, ms] : std::map<std::string, int>{
           { "a", 10 }, { "b", 10 }, { "far", 120 }, { "slow", 200 } }) {
      selector.OnStart(TargetName(name));
      selector.OnEnd(TargetName(name), RequestEnd::Ok, ms * 1ms, kNow);
    }
  }
  CHECK(ReasonFor(selector, "slow") == TargetReason::Ejected);
  CHECK(ReasonFor(selector, "far") == TargetReason::Usable);
}

// Guards against misleading health reports that exclude working targets, and
// against new requests to a leaving target (I8).
TEST_CASE("own observations override health reports but not a drain")
{
  auto selector = MakeSelector(
    { MakeTarget("a", "akl-a", "akl"), MakeTarget("b", "akl-a", "akl") });
  const TargetName a("a");
  selector.OnHealthReport(a, { .mAnswered = false }, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::ReportedUnhealthy);
  CHECK(SelectedName(selector) == "b");
  selector.OnStart(a);
  selector.OnEnd(a, RequestEnd::Ok, 5ms, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::Usable);
  selector.OnHealthReport(a, { .mDraining = true }, kNow);
  selector.OnHealthReport(a, { .mAnswered = false }, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::ReportedDraining);
  CHECK(SelectedName(selector, { TargetName("b") }) == "none");
  CHECK(ReasonFor(selector, "a", kNow + 11s) == TargetReason::Usable);
}
