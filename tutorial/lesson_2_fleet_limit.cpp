// Lesson 2: admission under a limit of the whole fleet.
//
// A workspace has a limit of 200 requests/s with a burst of 60, counted over
// two zones. Its callers send five times the rate, mostly to one zone.
// Admission doesn't involve the store: each zone's owner has a share of rate
// and burst.

#include "IdealBucket.h"
#include "TwoZones.h"

#include <iostream>

using namespace pollenway;

int main()
{
  constexpr double kRate = 200;
  constexpr double kBurst = 60;
  constexpr uint64_t kSeed = 7;
  constexpr int kSeconds = 20;

  TwoZones fleet(kRate, kBurst);
  IdealBucket ideal(kRate, kBurst);
  Random random(kSeed);
  bool isWithinLimit = true;
  uint64_t admittedBefore = 0;

  // One step is a millisecond of simulated time. On average one request arrives
  // in each step, four of five of them in the east.
  for (int step = 0; step < kSeconds * 1000; ++step) {
    const TimePoint now = TimePoint() + std::chrono::milliseconds(step);
    if (step % 50 == 0) {
      fleet.Tick(now);
    }
    for (double left = random.Exponential(1); left < 1;
         left += random.Exponential(1)) {
      fleet.Request(random.Chance(0.8) ? 0 : 1, now);
    }
    const uint64_t admitted = fleet.Admitted(0) + fleet.Admitted(1);
    isWithinLimit &= ideal.Admit(admitted - admittedBefore, now);
    admittedBefore = admitted;
  }

  const double perSecond = double(admittedBefore) / kSeconds;
  std::cout << "seed " << kSeed << ", " << kSeconds << " s\n"
            << "east: " << fleet.Admitted(0) << " admitted, "
            << fleet.Refused(0) << " refused\n"
            << "west: " << fleet.Admitted(1) << " admitted, "
            << fleet.Refused(1) << " refused\n"
            << "together " << perSecond << " requests/s of " << kRate << "\n";

  // The limit must hold, and more than 85% of it must be used.
  const bool ok = isWithinLimit && perSecond > 0.85 * kRate;
  std::cout << (ok ? "as expected" : "NOT AS EXPECTED")
            << ": all admissions fit one bucket and use most of the limit\n";
  return ok ? 0 : 1;
}
