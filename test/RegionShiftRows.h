#pragma once

#include "RegionFleet.h"

#include <doctest/doctest.h>

#include <numbers>
#include <span>

/// Days of the fleet, and the check that all tests of the changes of region
/// share.
namespace pollenway::region_fleet {

/// Largest share of a region's requests that may change the region in which
/// they run from one window of 2 s to the next.
constexpr double kMaxRegionShift = 0.15;
/// Time of each row's event, and the end of the measurement.
constexpr double kEventAt = 20;
constexpr double kEndAt = 36;
constexpr double kBurstSeconds = 8;

/// A day of the fleet and its event.
struct Row
{
  std::string mName;
  double mMeasuredFrom;
  Options mOptions;
  std::function<void(Fleet&)> mPrepare = [](Fleet&) {};
};

inline Options Burst(double aFactor,
                     std::string aRegion,
                     double aDigestDelay = 0.06)
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
inline Options BurstInWave(double aFactor)
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

inline Options LateDigests()
{
  Options out;
  out.mDigestDelay = 3;
  return out;
}

/// Calls `aChange` for each zone in `aZones` at the time of the event.
inline std::function<void(Fleet&)> ChangeTargets(void (Fleet::*aChange)(size_t),
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

inline void OscillateRejections(Fleet& aFleet)
{
  for (int n = 0; n < 4; ++n) {
    aFleet.At(kEventAt + 2 * n,
              [&aFleet] { aFleet.SetRejecting("wlg", true); });
    aFleet.At(kEventAt + 2 * n + 1,
              [&aFleet] { aFleet.SetRejecting("wlg", false); });
  }
}

inline std::function<void(Fleet&)> Restart(size_t aCount)
{
  return [=](Fleet& aFleet) {
    aFleet.At(kEventAt,
              [=, &aFleet] { aFleet.RestartInstances("wlg", aCount); });
  };
}

/// Returns the numbers of runs by running region and reason in windows of 2 s.
inline std::string Timeline(const std::vector<Run>& aRuns,
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

/// Checks each row with three seeds.
inline void CheckRegionShift(std::span<const Row> aRows)
{
  for (const auto& row : aRows) {
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

} // namespace pollenway::region_fleet
