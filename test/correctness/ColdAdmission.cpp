#include "ColdAdmission.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

constexpr double kRate = 18;
/// Number of requests that the operators allow in one second: half more than
/// the rate, plus 5.
constexpr double kMaxInOneSecond = kRate * 1.5 + 5;

/// Returns instances in n1 (four), n2 (two) and s1 (four) that know each other.
std::vector<ColdAdmission> MakeFleet()
{
  std::vector<std::pair<std::string, std::string>> members;
  for (const auto& [zone, count] :
       std::map<std::string, int>{ { "n1", 4 }, { "n2", 2 }, { "s1", 4 } }) {
    for (int n = 0; n < count; ++n) {
      members.emplace_back(zone + std::to_string(n), zone);
    }
  }
  std::vector<ColdAdmission> out;
  for (const auto& [name, zone] : members) {
    InstanceTable table{ InstanceName(name) };
    for (const auto& [other, otherZone] : members) {
      InstanceSummary summary;
      summary.mName = InstanceName(other);
      summary.mIncarnation = 1;
      summary.mSequence = 1;
      summary.mZone = ZoneName(otherZone);
      summary.mRegion = RegionOfZones().at(ZoneName(otherZone));
      table.OnSummary(summary, At(0));
    }
    out.emplace_back(
      InstanceName(name), ZoneName(zone), RegionOfZones().at(ZoneName(zone)));
    out.back().SetInstances(table, At(0));
  }
  return out;
}

} // namespace

// Guards against a cold target that crashes under the total load from all
// instances, and against one that receives nothing.
TEST_CASE("all instances together stay within a cold target's rate")
{
  for (const char* zone : { "n1", "n2", "s1" }) {
    CAPTURE(zone);
    auto fleet = MakeFleet();
    const TargetState target(MakeTarget("t", zone), RegionName("north"));
    size_t total = 0;
    for (int second = 0; second < 5; ++second) {
      size_t sent = 0;
      for (int step = 0; step < 100; ++step) {
        for (auto& it : fleet) {
          sent += it.TryAdmit(target, kRate, At(1 + second + step / 100.0));
        }
      }
      CHECK(sent <= kMaxInOneSecond);
      total += sent;
    }
    // At least half of the rate is used.
    CHECK(total >= 5 * kRate / 2);
  }
}

// Guards against refusals when the service has no limit for cold targets.
TEST_CASE("without a rate all requests may be sent")
{
  auto fleet = MakeFleet();
  const TargetState target(MakeTarget("t", "n1"), RegionName("north"));
  for (int n = 0; n < 100; ++n) {
    CHECK(fleet[9].TryAdmit(target, 0, At(1)));
  }
}
