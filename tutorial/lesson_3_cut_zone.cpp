// Lesson 3: admission in a zone that is cut off.
//
// The fleet is that of lesson 2. After 10 s, no message passes between the
// zones or to the store for 10 s. Each zone continues with the share that it
// has, so the sum stays within the limit although no instance knows the total.

#include "IdealBucket.h"
#include "TwoZones.h"

#include <iostream>

using namespace pollenway;

int main()
{
  constexpr double kRate = 200;
  constexpr double kBurst = 60;
  constexpr uint64_t kSeed = 11;
  constexpr int kPhaseSeconds = 10;
  const char* const phases[] = { "connected", "cut", "connected again" };

  TwoZones fleet(kRate, kBurst);
  IdealBucket ideal(kRate, kBurst);
  Random random(kSeed);
  bool ok = true;
  uint64_t admittedBefore = 0;
  int step = 0;

  std::cout << "seed " << kSeed << ", limit " << kRate << " requests/s\n";
  for (int phase = 0; phase < 3; ++phase) {
    fleet.SetCutOff(phase == 1);
    const uint64_t before[] = { fleet.Admitted(0), fleet.Admitted(1) };
    for (int n = 0; n < kPhaseSeconds * 1000; ++n, ++step) {
      const TimePoint now = TimePoint() + std::chrono::milliseconds(step);
      if (step % 50 == 0) {
        fleet.Tick(now);
      }
      // Both zones get about 500 requests/s.
      for (size_t zone = 0; zone < TwoZones::kZones; ++zone) {
        if (random.Chance(0.5)) {
          fleet.Request(zone, now);
        }
      }
      const uint64_t admitted = fleet.Admitted(0) + fleet.Admitted(1);
      ok &= ideal.Admit(admitted - admittedBefore, now);
      admittedBefore = admitted;
    }
    const double east = double(fleet.Admitted(0) - before[0]) / kPhaseSeconds;
    const double west = double(fleet.Admitted(1) - before[1]) / kPhaseSeconds;
    std::cout << phases[phase] << ": east " << east << "/s, west " << west
              << "/s, together " << east + west << "/s\n";
    // With equal demand, each zone gets about half of the limit, connected or
    // not.
    ok &= east > 0.35 * kRate && west > 0.35 * kRate;
  }
  std::cout << (ok ? "as expected" : "NOT AS EXPECTED")
            << ": both sides serve, and together never exceed the limit\n";
  return ok ? 0 : 1;
}
