#include "DatagramFields.h"
#include "FleetDigestCodec.h"
#include "InstanceRoster.h"
#include "Random.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

FleetDigest SampleDigest(size_t aUses)
{
  FleetDigest out;
  out.mSender = InstanceName("edge-1");
  out.mIncarnation = 77;
  out.mSequence = 3;
  out.mSenderZone = ZoneName("n1");
  out.mScope = DigestScope::OtherZones;
  out.mIsUrgent = true;
  out.mIsForwarded = true;
  out.mConfigurationPosition = { { 2 }, 8 };
  out.mTargetPosition = { { 3 }, 9 };
  out.mEvacuationPosition = { { 4 }, 10 };
  for (const char* it : { "n2", "s1" }) {
    ZoneStatus zone;
    zone.mZone = ZoneName(it);
    zone.mRegion = RegionName("north");
    zone.mAge = 250ms;
    zone.mKnown = 33;
    zone.mReachable = 32;
    zone.mReachesTargets = it == std::string("n2");
    zone.mDelegates = { { InstanceName("edge-7"), { "127.0.0.7", 7000 } } };
    zone.mCallerEndpoints = { { "127.0.0.7", 8000 }, { "127.0.0.8", 8000 } };
    zone.mServiceRates = { { ServiceName("lookup"), 40 } };
    out.mZones.push_back(zone);
  }
  out.mCrashCounts = { { { 5 }, 1 }, { { 6 }, 3 } };
  for (size_t n = 0; n < aUses; ++n) {
    out.mUses.push_back({ WorkspaceName("workspace-" + std::to_string(n)),
                          double(n),
                          int64_t(n) - 2 });
  }
  return out;
}

WorkspaceNumbers NumbersOf(const FleetDigest& aDigest)
{
  std::vector<WorkspaceName> names;
  for (const auto& it : aDigest.mUses) {
    names.push_back(it.mWorkspace);
  }
  WorkspaceNumbers out;
  out.Set(names);
  return out;
}

} // namespace

// Guards against fields that are lost or swapped on the wire, and against a
// large deployment whose digests don't fit into datagrams.
TEST_CASE("a digest is unchanged by encoding into parts and decoding")
{
  for (const size_t uses : { 0, 1, 120, 121, 1000 }) {
    CAPTURE(uses);
    const FleetDigest digest = SampleDigest(uses);
    FleetDigest joined;
    for (const auto& bytes : EncodeDigest(digest)) {
      CHECK(bytes.size() <= datagram::kMaxBytes);
      CHECK(datagram::PeekKind(bytes) == datagram::Kind::Digest);
      const auto part = DecodeDigest(bytes, NumbersOf(digest));
      REQUIRE(part);
      CHECK(part.value().mSequence == digest.mSequence);
      auto uses = std::move(joined.mUses);
      uses.insert(
        uses.end(), part.value().mUses.begin(), part.value().mUses.end());
      if (part.value().mHasStatus) {
        joined = part.value();
      }
      joined.mUses = std::move(uses);
    }
    CHECK(joined == digest);
  }
}

// Guards against a crash or unbounded work on a damaged or hostile datagram.
TEST_CASE("damaged digests and rosters are refused or decoded, without a crash")
{
  const InstanceRoster roster{ { { ZoneName("n1"), { "127.0.0.1", 7000 } },
                                 { ZoneName("s1"), { "127.0.0.2", 7000 } } } };
  REQUIRE(DecodeRoster(EncodeRoster(roster)));
  CHECK(DecodeRoster(EncodeRoster(roster)).value() == roster);
  Random random(12);
  for (const auto& bytes :
       { EncodeDigest(SampleDigest(3)).front(), EncodeRoster(roster) }) {
    for (size_t n = 0; n < bytes.size(); ++n) {
      CHECK_FALSE(DecodeDigest(std::string_view(bytes).substr(0, n), {}));
      CHECK_FALSE(DecodeRoster(std::string_view(bytes).substr(0, n)));
      (void)datagram::PeekKind(std::string_view(bytes).substr(0, n));
    }
    for (int n = 0; n < 20'000; ++n) {
      std::string damaged = bytes;
      for (uint64_t k = 0; k <= random.Below(3); ++k) {
        damaged[random.Below(damaged.size())] = char(random.Next());
      }
      (void)datagram::PeekKind(damaged);
      (void)DecodeDigest(damaged, NumbersOf(SampleDigest(3)));
      (void)DecodeRoster(damaged);
    }
  }
}
