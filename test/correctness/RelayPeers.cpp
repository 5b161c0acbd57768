#include "RelayPeers.h"

#include "InstanceTable.h"
#include "RemoteZones.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace pollenway::sample;

namespace {

/// An instance of the own zone n1, or of another zone if `mZone` is set.
struct Peer
{
  uint16_t mPort;
  std::string mZone;
  bool mIsReady = true;
  bool mReachesTargets = true;
  /// Time since it was last heard of, in seconds.
  double mAge = 0.1;
};

void AddPeer(InstanceTable& aInstances,
             RemoteZones& aRemoteZones,
             const Peer& aPeer)
{
  const TimePoint heardAt = At(100 - aPeer.mAge);
  const std::string name = "edge-" + std::to_string(aPeer.mPort);
  if (aPeer.mZone == "n1") {
    InstanceSummary summary;
    summary.mName = InstanceName(name);
    summary.mIncarnation = 1;
    summary.mSequence = 1;
    summary.mZone = ZoneName("n1");
    summary.mCaller = { "127.0.0.1", aPeer.mPort };
    summary.mReady = aPeer.mIsReady;
    summary.mReachesTargets = aPeer.mReachesTargets;
    aInstances.OnSummary(summary, heardAt);
    return;
  }
  ZoneStatus status;
  status.mZone = ZoneName(aPeer.mZone);
  status.mRegion = RegionOfZones()[status.mZone];
  status.mKnown = 1;
  status.mReachable = 1;
  status.mReachesTargets = aPeer.mReachesTargets;
  status.mDelegates = { { InstanceName(name), { "127.0.0.1", 1 } } };
  status.mCallerEndpoints = { { "127.0.0.1", aPeer.mPort } };
  FleetDigest digest;
  digest.mSender = InstanceName(name);
  digest.mSenderZone = status.mZone;
  digest.mIncarnation = 1;
  digest.mSequence = 1;
  digest.mZones = { status };
  aRemoteZones.OnDigest(digest, heardAt);
}

} // namespace

// Guards against requests that are relayed to instances that are silent, not
// ready or without paths themselves, or across regions while a nearer instance
// could take them.
TEST_CASE(
  "requests are relayed through the nearest instances that reach targets")
{
  struct Row
  {
    std::string mCase;
    std::vector<Peer> mPeers;
    std::vector<uint16_t> mPorts;
    std::vector<int> mDistances;
  };
  const Row rows[] = {
    { "no others", {}, {}, {} },
    { "nearest first",
      { { 3, "s1" }, { 2, "n2" }, { 1, "n1" } },
      { 1, 2, 3 },
      { 0, 1, 2 } },
    { "the own zone is cut off",
      { { 1, "n1", true, false }, { 2, "n2" }, { 3, "s1" } },
      { 2, 3 },
      { 1, 2 } },
    { "the own region is cut off",
      { { 1, "n1", true, false }, { 2, "n2", true, false }, { 3, "s1" } },
      { 3 },
      { 2 } },
    { "none reaches targets",
      { { 1, "n1", true, false }, { 2, "n2", true, false } },
      {},
      {} },
    { "not ready", { { 1, "n1", false }, { 4, "n1" } }, { 4 }, { 0 } },
    { "silent",
      { { 1, "n1", true, true, 5 }, { 2, "n2", true, true, 5 }, { 3, "s1" } },
      { 3 },
      { 2 } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mCase);
    InstanceTable instances(InstanceName("self"), ZoneName("n1"));
    RemoteZones zones(InstanceName("self"), 1, ZoneName("n1"));
    for (const auto& it : row.mPeers) {
      AddPeer(instances, zones, it);
    }
    const auto found = FindRelayCandidates(
      instances, zones, ZoneName("n1"), RegionName("north"), At(100));
    std::vector<uint16_t> ports;
    std::vector<int> distances;
    for (const auto& it : found) {
      ports.push_back(it.mCaller.mPort);
      distances.push_back(it.mDistance);
    }
    CHECK(ports == row.mPorts);
    CHECK(distances == row.mDistances);
  }
}
