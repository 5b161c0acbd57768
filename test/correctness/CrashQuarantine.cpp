#include "CrashQuarantine.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Verdict = CrashQuarantine::Verdict;

const TargetName kTarget("t");
const TargetName kOther("u");
const RequestFingerprint kPoison{ 1 };
const RequestFingerprint kHarmless{ 2 };
const RequestFingerprint kOtherHarmless{ 3 };

CrashReport Crash(uint64_t aNumber, std::vector<RequestFingerprint> aInFlight)
{
  return { .mId = { .mObserver = InstanceName("a"), .mNumber = aNumber },
           .mInFlight = std::move(aInFlight) };
}

TimePoint At(Duration aTime)
{
  return TimePoint(aTime);
}

} // namespace

// Guards against a request that crashes a third target, and against other
// requests that stay suspects because of a crash whose cause is known.
TEST_CASE("the second crash quarantines the suspect and clears the others")
{
  CrashQuarantine quarantine;
  CHECK(quarantine.Check(kPoison, At(0s)) == Verdict::Free);
  quarantine.OnCrash(Crash(1, { kPoison, kHarmless }), At(1s));
  quarantine.OnCrash(Crash(1, { kPoison, kHarmless }), At(1s));
  CHECK(quarantine.Check(kPoison, At(1s)) == Verdict::Suspect);
  quarantine.OnCrash(Crash(2, { kPoison, kOtherHarmless }), At(2s));
  CHECK(quarantine.Check(kPoison, At(2s)) == Verdict::Quarantined);
  CHECK(quarantine.QuarantinedUntil(kPoison) == At(62s));
  CHECK(quarantine.Check(kHarmless, At(2s)) == Verdict::Free);
  CHECK(quarantine.Check(kOtherHarmless, At(2s)) == Verdict::Suspect);
  CHECK(quarantine.Check(kPoison, At(62s)) == Verdict::Suspect);
  quarantine.OnCrash(Crash(3, { kPoison }), At(70s));
  CHECK(quarantine.Check(kPoison, At(189s)) == Verdict::Quarantined);
  CHECK(quarantine.Check(kPoison, At(190s)) == Verdict::Suspect);
}

// Guards against a request that is cleared because another one is quarantined
// for the same crash.
TEST_CASE("two requests with two crashes are both quarantined")
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(Crash(1, { kPoison, kHarmless }), At(1s));
  quarantine.OnCrash(Crash(2, { kPoison, kHarmless }), At(2s));
  CHECK(quarantine.Check(kPoison, At(2s)) == Verdict::Quarantined);
  CHECK(quarantine.Check(kHarmless, At(2s)) == Verdict::Quarantined);
  CHECK(quarantine.OnCompleted(kHarmless));
  CHECK(quarantine.Check(kHarmless, At(2s)) == Verdict::Free);
}

// Guards against a harmless request that stays in quarantine after the request
// that crashed its second target is identified.
TEST_CASE("a request is released when another explains its second crash")
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(Crash(1, { kHarmless }), At(1s));
  quarantine.OnCrash(Crash(2, { kHarmless, kPoison }), At(2s));
  CHECK(quarantine.Check(kHarmless, At(2s)) == Verdict::Quarantined);
  CHECK(quarantine.Check(kPoison, At(2s)) == Verdict::Suspect);
  quarantine.OnCrash(Crash(3, { kPoison }), At(3s));
  CHECK(quarantine.Check(kPoison, At(3s)) == Verdict::Quarantined);
  CHECK(quarantine.Check(kHarmless, At(3s)) == Verdict::Suspect);
}

// Guards against two suspects in one crash, which could not be distinguished,
// and against concurrent runs of one suspect.
TEST_CASE("suspects run one at a time")
{
  CrashQuarantine quarantine;
  quarantine.OnCrash(Crash(1, { kPoison, kHarmless }), At(1s));
  CHECK_FALSE(quarantine.TryStartSuspect(kOtherHarmless, kTarget, At(1s)));
  CHECK(quarantine.TryStartSuspect(kPoison, kTarget, At(1s)));
  CHECK_FALSE(quarantine.TryStartSuspect(kPoison, kOther, At(1s)));
  CHECK_FALSE(quarantine.TryStartSuspect(kHarmless, kTarget, At(1s)));
  CHECK(quarantine.TryStartSuspect(kHarmless, kOther, At(1s)));
  CHECK(quarantine.HasSuspect({ kOtherHarmless, kPoison }));
  CHECK_FALSE(quarantine.HasSuspect({ kOtherHarmless }));
  quarantine.OnSuspectRunEnded(kPoison);
  CHECK(quarantine.TryStartSuspect(kPoison, kTarget, At(1s)));
}

// Guards against harmless requests that stay suspects for long: one that
// completes is cleared, and one that is never seen again expires.
TEST_CASE("a suspect is cleared when it completes or expires")
{
  CrashQuarantine quarantine({ .mSuspectTtl = 100s });
  quarantine.OnCrash(Crash(1, { kPoison, kHarmless }), At(1s));
  CHECK(quarantine.OnCompleted(kHarmless));
  CHECK_FALSE(quarantine.OnCompleted(kHarmless));
  CHECK(quarantine.Check(kHarmless, At(1s)) == Verdict::Free);
  CHECK(quarantine.Check(kPoison, At(100s)) == Verdict::Suspect);
  CHECK(quarantine.Check(kPoison, At(102s)) == Verdict::Free);
  CHECK(quarantine.Suspects() == 0);
}

// Guards against unbounded memory.
TEST_CASE("the number of suspects is bounded")
{
  CrashQuarantine quarantine({ .mMaxSuspects = 10 });
  quarantine.OnCrash(Crash(1, { kPoison }), At(1s));
  quarantine.OnCrash(Crash(2, { kPoison }), At(2s));
  for (uint64_t i = 0; i < 100; ++i) {
    quarantine.OnCrash(Crash(10 + i, { RequestFingerprint{ 100 + i } }),
                       At(3s));
  }
  CHECK(quarantine.Suspects() == 10);
  CHECK(quarantine.Quarantined(At(3s)) == 1);
}
