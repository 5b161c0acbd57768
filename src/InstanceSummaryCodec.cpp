#include "InstanceSummaryCodec.h"

namespace pollenway {

namespace {

using namespace datagram;

constexpr uint32_t kFieldCount = 18;
/// Number of the store's kinds whose newest versions are reported.
constexpr uint32_t kPositionCount = 3;

InstanceSummary ReadSummary(const msgpack::object* aFields)
{
  InstanceSummary out;
  out.mName = InstanceName(aFields[1].as<std::string>());
  out.mIncarnation = aFields[2].as<uint64_t>();
  out.mSequence = aFields[3].as<uint64_t>();
  out.mZone = ZoneName(aFields[4].as<std::string>());
  out.mRegion = RegionName(aFields[5].as<std::string>());
  out.mPeer = ReadEndpoint(aFields[6]);
  out.mCaller = ReadEndpoint(aFields[7]);
  out.mReady = aFields[8].as<bool>();
  out.mTableVersion = aFields[9].as<uint64_t>();
  out.mWorkspaceUses = ReadUses(aFields[10]);
  out.mServiceRates = ReadRates(aFields[11]);
  const auto& peers = ReadArray(aFields[12]);
  for (uint32_t n = 0; n < peers.size; ++n) {
    out.mKnownPeers.push_back(ReadEndpoint(peers.ptr[n]));
  }
  out.mCrashCounts = ReadCrashCounts(aFields[13]);
  const auto& positions = ReadArray(aFields[14]);
  if (positions.size != kPositionCount) {
    throw msgpack::type_error();
  }
  out.mConfigurationPosition = ReadPosition(positions.ptr[0]);
  out.mTargetPosition = ReadPosition(positions.ptr[1]);
  out.mEvacuationPosition = ReadPosition(positions.ptr[2]);
  out.mIsUrgent = aFields[15].as<bool>();
  out.mIsStarting = aFields[16].as<bool>();
  out.mReachesTargets = aFields[17].as<bool>();
  return out;
}

} // namespace

std::string EncodeSummary(const InstanceSummary& aSummary)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  PackKind(packer, Kind::Summary, kFieldCount);
  packer.pack(aSummary.mName.Text());
  packer.pack(aSummary.mIncarnation);
  packer.pack(aSummary.mSequence);
  packer.pack(aSummary.mZone.Text());
  packer.pack(aSummary.mRegion.Text());
  PackEndpoint(packer, aSummary.mPeer);
  PackEndpoint(packer, aSummary.mCaller);
  packer.pack(aSummary.mReady);
  packer.pack(aSummary.mTableVersion);
  PackUses(
    packer, aSummary.mWorkspaceUses.data(), aSummary.mWorkspaceUses.size());
  PackRates(packer, aSummary.mServiceRates);
  packer.pack_array(uint32_t(aSummary.mKnownPeers.size()));
  for (const auto& it : aSummary.mKnownPeers) {
    PackEndpoint(packer, it);
  }
  PackCrashCounts(packer, aSummary.mCrashCounts);
  packer.pack_array(kPositionCount);
  PackPosition(packer, aSummary.mConfigurationPosition);
  PackPosition(packer, aSummary.mTargetPosition);
  PackPosition(packer, aSummary.mEvacuationPosition);
  packer.pack(aSummary.mIsUrgent);
  packer.pack(aSummary.mIsStarting);
  packer.pack(aSummary.mReachesTargets);
  return std::string(buf.data(), buf.size());
}

Result<InstanceSummary> DecodeSummary(std::string_view aBytes)
{
  InstanceSummary out;
  BOOST_OUTCOME_TRYV(ReadFields(
    aBytes, Kind::Summary, kFieldCount, [&](const msgpack::object* aFields) {
      out = ReadSummary(aFields);
    }));
  return out;
}

} // namespace pollenway
