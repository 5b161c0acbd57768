#include "CrashLedger.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

// Guards against a request that crashes one target after the other because its
// caller retries it at different instances.
TEST_CASE("three connection losses over all instances refuse a request")
{
  const RequestFingerprint bad{ 1 };
  const RequestFingerprint good{ 2 };
  CrashLedger here;
  CrashLedger there;
  here.OnConnectionLost(bad, At(0));
  there.OnConnectionLost(bad, At(1));
  here.OnReport(InstanceName("there"), there.Report(At(1)), At(1));
  CHECK_FALSE(here.IsRefused(bad));
  there.OnConnectionLost(bad, At(2));
  here.OnReport(InstanceName("there"), there.Report(At(2)), At(2));
  // A repeated report counts once.
  here.OnReport(InstanceName("there"), there.Report(At(2)), At(2));
  CHECK(here.IsRefused(bad));
  CHECK_FALSE(here.IsRefused(good));
}

// Guards against a request that is refused permanently after a network fault.
TEST_CASE("an answer or time clears a request")
{
  const RequestFingerprint request{ 1 };
  CrashLedger ledger;
  for (int n = 0; n < 3; ++n) {
    ledger.OnConnectionLost(request, At(n));
  }
  CHECK(ledger.IsRefused(request));
  (void)ledger.Report(At(70));
  CHECK_FALSE(ledger.IsRefused(request));
  ledger.OnConnectionLost(request, At(71));
  ledger.OnConnectionLost(request, At(71));
  ledger.OnAnswer(request);
  ledger.OnConnectionLost(request, At(72));
  CHECK_FALSE(ledger.IsRefused(request));
}

// Guards against reports that don't fit a datagram when a network fault
// interrupts many requests at once.
TEST_CASE("a report has the latest connection losses and is bounded")
{
  CrashLedger ledger;
  for (uint64_t n = 0; n < 10'000; ++n) {
    ledger.OnConnectionLost({ n }, At(double(n) / 1000));
  }
  const auto report = ledger.Report(At(10));
  CHECK(report.size() == 32);
}

// Guards against a request that stays refused because of the counts of an
// instance that has stopped permanently.
TEST_CASE("the counts of an instance that has stopped expire")
{
  const RequestFingerprint request{ 1 };
  CrashLedger ledger;
  ledger.OnReport(InstanceName("gone"), { { request, 3 } }, At(0));
  (void)ledger.Report(At(59));
  CHECK(ledger.IsRefused(request));
  (void)ledger.Report(At(61));
  CHECK_FALSE(ledger.IsRefused(request));
}

// Guards against proper requests that are refused everywhere for a minute,
// because an instance lost its paths to all targets while it ran them.
TEST_CASE("connection losses of a lost path don't count against requests")
{
  struct Row
  {
    double mLossesEndAt;
    bool mIsRefused;
  };
  for (const auto& row : { Row{ 4, true }, Row{ 7, false }, Row{ 9, false } }) {
    CAPTURE(row.mLossesEndAt);
    const RequestFingerprint request{ 1 };
    CrashLedger here;
    CrashLedger there;
    for (int n = 0; n < 3; ++n) {
      here.OnConnectionLost(request, At(row.mLossesEndAt - 2 + n));
    }
    here.DiscardSince(At(7));
    there.OnReport(InstanceName("here"), here.Report(At(10)), At(10));
    CHECK(here.IsRefused(request) == row.mIsRefused);
    CHECK(there.IsRefused(request) == row.mIsRefused);
  }
}
