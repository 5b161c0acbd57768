#include "../RegionFleet.h"

#include <doctest/doctest.h>

#include <numbers>

using namespace pollenway;
using namespace pollenway::region_fleet;

namespace {

/// Largest share of a region's requests that may change the region in which
/// they run from one window of 2 s to the next.
constexpr double kMaxRegionShift = 0.15;
/// Time of each row's event, and the end of the measurement.
constexpr double kEventAt = 20;
constexpr double kEndAt = 36;
constexpr double kBurstSeconds = 8;

struct Row
{
  std::string mName;
  double mMeasuredFrom;
  Options mOptions;
  std::function<void(Fleet&)> mPrepare = [](Fleet&) {};
};

Options Burst(double aFactor, std::string aRegion, double aDigestDelay = 0.06)
{
  Options out;
  out.mDigestDelay = aDigestDelay;
  out.mRate = [=](const std::string& aFrom, double aTime) {
    const bool isBurst = aTime >= kEventAt && aTime < kEventAt + kBurstSeconds;
    return isBurst && (aRegion.empty() || aRegion == aFrom) ? aFactor : 1;
  };
  return out;
}

/// A burst everywhere while the regions' demand rises and falls in turns: at
/// the event it is low in wlg and high in chc.
Options BurstInWave(double aFactor)
{
  Options out = Burst(aFactor, "");
  out.mRate = [burst = out.mRate](const std::string& aRegion, double aTime) {
    constexpr double kSwing = 0.55;
    constexpr double kPeriodSeconds = 36;
    const std::map<std::string, double> phases = { { "akl", 0.98 },
                                                   { "wlg", 0.31 },
                                                   { "chc", 0.65 } };
    const double angle =
      2 * std::numbers::pi * (aTime / kPeriodSeconds + phases.at(aRegion));
    return burst(aRegion, aTime) * (1 + kSwing * std::sin(angle));
  };
  return out;
}

Options LateDigests()
{
  Options out;
  out.mDigestDelay = 3;
  return out;
}

/// Calls `aChange` for each zone in `aZones` at the time of the event.
std::function<void(Fleet&)> ChangeTargets(void (Fleet::*aChange)(size_t),
                                          std::vector<size_t> aZones)
{
  return [=](Fleet& aFleet) {
    aFleet.At(kEventAt, [=, &aFleet] {
      for (const auto it : aZones) {
        (aFleet.*aChange)(it);
      }
    });
  };
}

void OscillateRejections(Fleet& aFleet)
{
  for (int n = 0; n < 4; ++n) {
    aFleet.At(kEventAt + 2 * n,
              [&aFleet] { aFleet.SetRejecting("wlg", true); });
    aFleet.At(kEventAt + 2 * n + 1,
              [&aFleet] { aFleet.SetRejecting("wlg", false); });
  }
}

std::function<void(Fleet&)> Restart(size_t aCount)
{
  return [=](Fleet& aFleet) {
    aFleet.At(kEventAt,
              [=, &aFleet] { aFleet.RestartInstances("wlg", aCount); });
  };
}

/// Returns the numbers of runs by running region and reason in windows of 2 s.
std::string Timeline(const std::vector<Run>& aRuns,
                     size_t aFrom,
                     double aStart,
                     double aEnd)
{
  std::string out;
  for (double at = aStart; at < aEnd; at += 2) {
    std::map<std::string, unsigned> counts;
    for (const auto& it : aRuns) {
      if (it.mFrom == aFrom && it.mTime >= at && it.mTime < at + 2) {
        ++counts[std::string(kRegionOfZone[it.mIn]) + " " +
                 std::string(Name(it.mReason))];
      }
    }
    out += "\n  " + std::to_string(int(at)) + " s:";
    for (const auto& [name, count] : counts) {
      out += " " + name + " " + std::to_string(count) + ";";
    }
  }
  return out;
}

} // namespace

// Guards against much of a region's traffic that changes the region in which it
// runs from one moment to the next although no target, link or instance has
// failed: callers lose warm targets and pay round trips between regions.
TEST_CASE("at most 0.15 of a region's requests change their region in 2 s")
{
  const Row rows[] = {
    { "steady demand", 12, {} },
    { "first demand after the start", 2, {} },
    { "first demand, late digests", 2, LateDigests() },
    { "burst of 2x everywhere", 12, Burst(2, "") },
    { "burst of 4x everywhere", 12, Burst(4, "") },
    { "waves without a burst", 12, BurstInWave(1) },
    { "burst of 2x everywhere in waves", 12, BurstInWave(2) },
    { "burst of 4x everywhere in waves", 12, BurstInWave(4) },
    { "burst of 2x of one region", 12, Burst(2, "wlg") },
    { "burst of 4x of one region", 12, Burst(4, "wlg") },
    { "burst of 2x of one region, late digests", 12, Burst(2, "wlg", 3) },
    { "one target each of two other regions leaves",
      12,
      {},
      ChangeTargets(&Fleet::RemoveTarget, { 0, 2 }) },
    { "one of the region's two targets leaves",
      12,
      {},
      ChangeTargets(&Fleet::RemoveTarget, { 1 }) },
    { "the region's targets are doubled",
      12,
      {},
      ChangeTargets(&Fleet::AddTarget, { 1, 4 }) },
    { "rejections in turns of a second", 12, {}, OscillateRejections },
    { "one of the region's six instances starts again", 12, {}, Restart(1) },
    { "three of the region's six instances start again", 12, {}, Restart(3) },
  };
  for (const auto& row : rows) {
    for (const uint32_t seed : { 1, 2, 3 }) {
      Options options = row.mOptions;
      options.mSeed = seed;
      Fleet fleet(options);
      row.mPrepare(fleet);
      fleet.RunUntil(kEndAt);
      const auto shift =
        LargestShift(fleet.Runs(), row.mMeasuredFrom, kEndAt - 2);
      CAPTURE(row.mName);
      CAPTURE(seed);
      CAPTURE(shift.mTime);
      const std::string region = kRegionOfZone[shift.mRegion];
      CAPTURE(region);
      CAPTURE(shift.mBefore[0]);
      CAPTURE(shift.mBefore[1]);
      CAPTURE(shift.mBefore[2]);
      CAPTURE(shift.mAfter[0]);
      CAPTURE(shift.mAfter[1]);
      CAPTURE(shift.mAfter[2]);
      const std::string timeline =
        Timeline(fleet.Runs(), shift.mRegion, shift.mTime - 2, shift.mTime + 2);
      CAPTURE(timeline);
      CAPTURE(fleet.Sent());
      CAPTURE(fleet.Rejected());
      CHECK(shift.mShare <= kMaxRegionShift);
    }
  }
}
