#include "FleetDigestCodec.h"

#include "DatagramFields.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

using namespace datagram;

constexpr uint32_t kFieldCount = 14;
constexpr uint32_t kZoneFieldCount = 9;
/// Maximum number of uses in one datagram: about 1.2 KB, one packet on a data
/// centre link.
constexpr size_t kUsesPerPart = 120;
constexpr uint32_t kFieldsPerUse = 3;
/// Demand is sent in units of 1/16 of a request per second.
constexpr double kDemandUnits = 16;
constexpr double kMaxDemand = 1e8;

/// Packs the uses as a flat array of number, demand and admitted requests.
void PackNumberedUses(Packer& aPacker, const WorkspaceUse* aUses, size_t aCount)
{
  aPacker.pack_array(uint32_t(aCount) * kFieldsPerUse);
  for (size_t n = 0; n < aCount; ++n) {
    aPacker.pack(WorkspaceNumbers::Of(aUses[n].mWorkspace));
    aPacker.pack(uint32_t(std::lround(
      std::clamp(aUses[n].mDemand, 0.0, kMaxDemand) * kDemandUnits)));
    aPacker.pack(aUses[n].mAdmitted);
  }
}

std::vector<WorkspaceUse> ReadNumberedUses(const msgpack::object& aObject,
                                           const WorkspaceNumbers& aNumbers)
{
  const auto& fields = ReadArray(aObject);
  if (fields.size % kFieldsPerUse != 0) {
    throw msgpack::type_error();
  }
  std::vector<WorkspaceUse> out;
  for (uint32_t n = 0; n < fields.size; n += kFieldsPerUse) {
    const auto number = fields.ptr[n].as<uint32_t>();
    const auto demand = fields.ptr[n + 1].as<uint32_t>();
    const auto admitted = fields.ptr[n + 2].as<int64_t>();
    for (const auto& it : aNumbers.Find(number)) {
      out.push_back({ it, demand / kDemandUnits, admitted });
    }
  }
  return out;
}

void PackZone(Packer& aPacker, const ZoneStatus& aZone)
{
  aPacker.pack_array(kZoneFieldCount);
  aPacker.pack(aZone.mZone.Text());
  aPacker.pack(aZone.mRegion.Text());
  aPacker.pack(uint64_t(
    std::chrono::duration_cast<std::chrono::milliseconds>(aZone.mAge).count()));
  aPacker.pack(aZone.mKnown);
  aPacker.pack(aZone.mReachable);
  aPacker.pack_array(uint32_t(aZone.mDelegates.size()));
  for (const auto& it : aZone.mDelegates) {
    aPacker.pack_array(2);
    aPacker.pack(it.mName.Text());
    PackEndpoint(aPacker, it.mPeer);
  }
  aPacker.pack_array(uint32_t(aZone.mCallerEndpoints.size()));
  for (const auto& it : aZone.mCallerEndpoints) {
    PackEndpoint(aPacker, it);
  }
  PackRates(aPacker, aZone.mServiceRates);
  aPacker.pack(aZone.mReachesTargets);
}

ZoneStatus ReadZone(const msgpack::object& aObject)
{
  const auto& fields = ReadArray(aObject);
  if (fields.size != kZoneFieldCount) {
    throw msgpack::type_error();
  }
  ZoneStatus out;
  out.mZone = ZoneName(fields.ptr[0].as<std::string>());
  out.mRegion = RegionName(fields.ptr[1].as<std::string>());
  out.mAge = std::chrono::milliseconds(fields.ptr[2].as<uint32_t>());
  out.mKnown = fields.ptr[3].as<uint32_t>();
  out.mReachable = fields.ptr[4].as<uint32_t>();
  const auto& delegates = ReadArray(fields.ptr[5]);
  for (uint32_t n = 0; n < delegates.size; ++n) {
    const auto& delegate = ReadArray(delegates.ptr[n]);
    if (delegate.size != 2) {
      throw msgpack::type_error();
    }
    out.mDelegates.push_back({ InstanceName(delegate.ptr[0].as<std::string>()),
                               ReadEndpoint(delegate.ptr[1]) });
  }
  const auto& endpoints = ReadArray(fields.ptr[6]);
  for (uint32_t n = 0; n < endpoints.size; ++n) {
    out.mCallerEndpoints.push_back(ReadEndpoint(endpoints.ptr[n]));
  }
  out.mServiceRates = ReadRates(fields.ptr[7]);
  out.mReachesTargets = fields.ptr[8].as<bool>();
  return out;
}

std::string EncodePart(const FleetDigest& aDigest,
                       bool aHasStatus,
                       size_t aFirstUse,
                       size_t aUseCount)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  PackKind(packer, Kind::Digest, kFieldCount);
  packer.pack(aDigest.mSender.Text());
  packer.pack(aDigest.mIncarnation);
  packer.pack(aDigest.mSequence);
  packer.pack(aDigest.mSenderZone.Text());
  packer.pack(unsigned(aDigest.mScope));
  packer.pack(aHasStatus);
  packer.pack(aHasStatus && aDigest.mIsUrgent);
  packer.pack(aDigest.mIsForwarded);
  PackPosition(packer,
               aHasStatus ? aDigest.mConfigurationPosition : StorePosition());
  PackPosition(packer, aHasStatus ? aDigest.mTargetPosition : StorePosition());
  PackPosition(packer,
               aHasStatus ? aDigest.mEvacuationPosition : StorePosition());
  packer.pack_array(2);
  packer.pack_array(aHasStatus ? uint32_t(aDigest.mZones.size()) : 0);
  if (aHasStatus) {
    for (const auto& it : aDigest.mZones) {
      PackZone(packer, it);
    }
  }
  PackCrashCounts(
    packer, aHasStatus ? aDigest.mCrashCounts : std::vector<CrashCount>());
  PackNumberedUses(packer, aDigest.mUses.data() + aFirstUse, aUseCount);
  return std::string(buf.data(), buf.size());
}

FleetDigest ReadDigest(const msgpack::object* aFields,
                       const WorkspaceNumbers& aNumbers)
{
  FleetDigest out;
  out.mSender = InstanceName(aFields[1].as<std::string>());
  out.mIncarnation = aFields[2].as<uint64_t>();
  out.mSequence = aFields[3].as<uint64_t>();
  out.mSenderZone = ZoneName(aFields[4].as<std::string>());
  const auto scope = aFields[5].as<unsigned>();
  if (scope > unsigned(DigestScope::OtherZones)) {
    throw msgpack::type_error();
  }
  out.mScope = DigestScope(scope);
  out.mHasStatus = aFields[6].as<bool>();
  out.mIsUrgent = aFields[7].as<bool>();
  out.mIsForwarded = aFields[8].as<bool>();
  out.mConfigurationPosition = ReadPosition(aFields[9]);
  out.mTargetPosition = ReadPosition(aFields[10]);
  out.mEvacuationPosition = ReadPosition(aFields[11]);
  const auto& status = ReadArray(aFields[12]);
  if (status.size != 2) {
    throw msgpack::type_error();
  }
  const auto& zones = ReadArray(status.ptr[0]);
  for (uint32_t n = 0; n < zones.size; ++n) {
    out.mZones.push_back(ReadZone(zones.ptr[n]));
  }
  out.mCrashCounts = ReadCrashCounts(status.ptr[1]);
  out.mUses = ReadNumberedUses(aFields[13], aNumbers);
  return out;
}

} // namespace

std::vector<std::string> EncodeDigest(const FleetDigest& aDigest)
{
  std::vector<std::string> out;
  const size_t count = aDigest.mUses.size();
  // The status fills a packet by itself in a deployment of many zones.
  const size_t first = aDigest.mZones.size() > 1 ? 0 : kUsesPerPart;
  size_t done = aDigest.mHasStatus ? std::min(first, count) : 0;
  if (aDigest.mHasStatus) {
    out.push_back(EncodePart(aDigest, true, 0, done));
  }
  while (done < count) {
    const size_t n = std::min(kUsesPerPart, count - done);
    out.push_back(EncodePart(aDigest, false, done, n));
    done += n;
  }
  return out;
}

Result<FleetDigest> DecodeDigest(std::string_view aBytes,
                                 const WorkspaceNumbers& aNumbers)
{
  FleetDigest out;
  BOOST_OUTCOME_TRYV(ReadFields(
    aBytes, Kind::Digest, kFieldCount, [&](const msgpack::object* aFields) {
      out = ReadDigest(aFields, aNumbers);
    }));
  return out;
}

} // namespace pollenway
