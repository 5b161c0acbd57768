#include "InstanceSummaryCodec.h"
#include "InstanceTable.h"
#include "Random.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

InstanceSummary SampleSummary()
{
  InstanceSummary out;
  out.mName = InstanceName("edge-1");
  out.mIncarnation = 77;
  out.mSequence = 3;
  out.mZone = ZoneName("n1");
  out.mRegion = RegionName("north");
  out.mPeer = { "127.0.0.1", 7000 };
  out.mCaller = { "127.0.0.1", 8000 };
  out.mReady = true;
  out.mTableVersion = 12;
  out.mWorkspaceUses = { { WorkspaceName("dairy"), 2.5, -3 } };
  out.mServiceRates = { { ServiceName("lookup"), 40 } };
  out.mKnownPeers = { { "127.0.0.2", 7000 } };
  out.mCrashCounts = { { { 5 }, 1 }, { { 6 }, 3 } };
  out.mConfigurationPosition = { { 2 }, 8 };
  out.mTargetPosition = { { 3 }, 9 };
  out.mEvacuationPosition = { { 4 }, 10 };
  out.mIsUrgent = true;
  out.mIsStarting = true;
  out.mReachesTargets = false;
  return out;
}

} // namespace

// Guards against fields that are lost or swapped on the wire.
TEST_CASE("a summary is unchanged by encoding and decoding")
{
  const auto decoded = DecodeSummary(EncodeSummary(SampleSummary()));
  REQUIRE(decoded);
  CHECK(decoded.value() == SampleSummary());
}

// Guards against a crash or unbounded work on a damaged or hostile datagram.
TEST_CASE("damaged summaries are refused or decoded, without a crash")
{
  const std::string bytes = EncodeSummary(SampleSummary());
  for (size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeSummary(std::string_view(bytes).substr(0, n)));
  }
  CHECK_FALSE(DecodeSummary(std::string(datagram::kMaxBytes + 1, '\x90')));
  Random random(11);
  for (int n = 0; n < 20'000; ++n) {
    std::string damaged = bytes;
    for (uint64_t k = 0; k <= random.Below(3); ++k) {
      damaged[random.Below(damaged.size())] = char(random.Next());
    }
    (void)DecodeSummary(damaged);
  }
}

// Guards against a late datagram that overwrites a newer one, such as
// "leaving", and against one of an earlier incarnation that hides a restart.
TEST_CASE("only later summaries are accepted")
{
  struct Row
  {
    uint64_t mIncarnation;
    uint64_t mSequence;
    bool mIsAccepted;
  };
  const Row rows[] = {
    { 77, 3, true }, { 77, 3, false }, { 77, 2, false }, { 77, 4, true },
    { 78, 1, true }, { 77, 9, false }, { 78, 2, true },
  };
  InstanceTable table(InstanceName("self"), ZoneName("n1"));
  for (const auto& it : rows) {
    CAPTURE(it.mIncarnation);
    CAPTURE(it.mSequence);
    auto summary = SampleSummary();
    summary.mIncarnation = it.mIncarnation;
    summary.mSequence = it.mSequence;
    CHECK(table.OnSummary(summary, At(1)) == it.mIsAccepted);
  }
  auto own = SampleSummary();
  own.mName = InstanceName("self");
  CHECK_FALSE(table.OnSummary(own, At(1)));
  auto remote = SampleSummary();
  remote.mName = InstanceName("edge-2");
  remote.mZone = ZoneName("n2");
  CHECK_FALSE(table.OnSummary(remote, At(1)));
}

// Guards against look-ups that list an instance seven seconds after its end
// (four until its loss is detected, and three more), and against the removal of
// one that is only cut off.
TEST_CASE("a silent instance is not live and is removed later")
{
  InstanceTable table(InstanceName("self"), ZoneName("n1"));
  table.OnSummary(SampleSummary(), At(0));
  CHECK(table.Live(At(2)).size() == 1);
  CHECK(table.Live(At(4)).empty());
  table.Expire(At(4));
  CHECK(table.CountKnown() == 1);
  table.Expire(At(60));
  CHECK(table.CountKnown() == 0);
}
