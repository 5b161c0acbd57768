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

SelectableTarget Of(const char* aName,
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

TargetSelector Selector(std::vector<SelectableTarget> aTargets)
{
  TargetSelector out(kZone, kRegion);
  out.SetTargets(aTargets, kNow);
  return out;
}

void Load(TargetSelector& aSelector, const char* aTarget, int aRequests)
{
  for (int i = 0; i < aRequests; ++i) {
    aSelector.OnStart(TargetName(aTarget));
  }
}

std::string Chosen(const TargetSelector& aSelector,
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

// Guards against distant targets used while a near one has room, and against
// a full near zone that keeps all requests waiting.
TEST_CASE("the nearest tier with room is used")
{
  auto selector = Selector({ Of("far", "chc-a", "chc", 80),
                             Of("other", "wlg-a", "wlg", 55),
                             Of("region", "akl-b", "akl"),
                             Of("own", "akl-a", "akl") });
  CHECK(Chosen(selector) == "own");
  CHECK(Chosen(selector, { TargetName("own") }) == "region");
  Load(selector, "own", 4);
  CHECK(Chosen(selector) == "region");
  Load(selector, "region", 4);
  CHECK(Chosen(selector) == "other");
  Load(selector, "other", 4);
  Load(selector, "far", 4);
  CHECK(Chosen(selector) == "own");
  CHECK(Chosen(selector,
               { TargetName("own"),
                 TargetName("region"),
                 TargetName("other"),
                 TargetName("far") }) == "none");
}

// Guards against load summaries that are counted twice, that overrule the
// instance's own count, or that never lose weight.
TEST_CASE("load summaries count by age beside own requests")
{
  auto selector =
    Selector({ Of("a", "akl-a", "akl"), Of("b", "akl-a", "akl") });
  Load(selector, "a", 1);
  selector.OnLoadSummary(TargetName("a"), { .mLoad = 3, .mCountedAt = kNow });
  selector.OnLoadSummary(TargetName("b"), { .mLoad = 0, .mCountedAt = kNow });
  selector.OnLoadSummary(TargetName("a"),
                         { .mLoad = 0, .mCountedAt = kNow - 1s });
  CHECK(Chosen(selector) == "b");
  CHECK(selector.Assess({}, kNow)[0].mRelativeLoad == doctest::Approx(0.75));
  CHECK(selector.Assess({}, kNow + 1s)[0].mRelativeLoad ==
        doctest::Approx((1 + 0.5 * 2 + 0.5 * 2 * std::exp2(-0.1)) / 4));
  CHECK(selector.Assess({}, kNow + 60s)[0].mRelativeLoad < 0.27);
  Load(selector, "b", 4);
  CHECK(Chosen(selector) == "a");
}

// Guards against a crashed or cold target that is given its full load at once.
TEST_CASE("cold targets start slowly")
{
  auto selector = Selector({ Of("a", "akl-a", "akl") });
  CHECK(selector.Assess({}, kNow)[0].mWarmUpFraction == 1);
  selector.SetTargets({ Of("a", "akl-a", "akl"), Of("new", "akl-a", "akl") },
                      kNow);
  CHECK(selector.Assess({}, kNow)[1].mWarmUpFraction == doctest::Approx(0.1));
  CHECK(selector.Assess({}, kNow + 10s)[1].mWarmUpFraction ==
        doctest::Approx(0.55));
  CHECK(selector.Assess({}, kNow + 20s)[1].mWarmUpFraction == 1);
  Load(selector, "new", 1);
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
    targets.push_back(Of(it, "akl-a", "akl"));
  }
  auto selector = Selector(targets);
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
  auto selector = Selector({ Of("a", "akl-a", "akl"),
                             Of("b", "akl-a", "akl"),
                             Of("slow", "akl-a", "akl"),
                             Of("far", "wlg-a", "wlg", 55) });
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

// Guards against misleading health reports that take working targets out, and
// against new work for a leaving target (I8).
TEST_CASE("own observations override health reports but not a drain")
{
  auto selector =
    Selector({ Of("a", "akl-a", "akl"), Of("b", "akl-a", "akl") });
  const TargetName a("a");
  selector.OnHealthReport(a, { .mAnswered = false }, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::ReportedUnhealthy);
  CHECK(Chosen(selector) == "b");
  selector.OnStart(a);
  selector.OnEnd(a, RequestEnd::Ok, 5ms, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::Usable);
  selector.OnHealthReport(a, { .mDraining = true }, kNow);
  selector.OnHealthReport(a, { .mAnswered = false }, kNow);
  CHECK(ReasonFor(selector, "a") == TargetReason::ReportedDraining);
  CHECK(Chosen(selector, { TargetName("b") }) == "none");
  CHECK(ReasonFor(selector, "a", kNow + 11s) == TargetReason::Usable);
}
