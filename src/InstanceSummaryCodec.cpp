#include "InstanceSummaryCodec.h"

#include "Msgpack.h"

namespace pollenway {

namespace {

constexpr unsigned kFormatVersion = 1;
constexpr unsigned kFieldCount = 15;

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackEndpoint(Packer& aPacker, const IpEndpoint& aEndpoint)
{
  aPacker.pack_array(2);
  aPacker.pack(aEndpoint.mAddress);
  aPacker.pack(aEndpoint.mPort);
}

IpEndpoint ReadEndpoint(const msgpack::object& aObject)
{
  const auto [address, port] = aObject.as<std::tuple<std::string, uint16_t>>();
  return { address, port };
}

const msgpack::object_array& ReadArray(const msgpack::object& aObject)
{
  if (aObject.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return aObject.via.array;
}

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
  const auto& uses = ReadArray(aFields[10]);
  for (uint32_t n = 0; n < uses.size; ++n) {
    const auto [name, demand, admitted] =
      uses.ptr[n].as<std::tuple<std::string, float, int64_t>>();
    out.mWorkspaceUses.push_back({ WorkspaceName(name), demand, admitted });
  }
  const auto& rates = ReadArray(aFields[11]);
  for (uint32_t n = 0; n < rates.size; ++n) {
    const auto [name, rate] = rates.ptr[n].as<std::tuple<std::string, float>>();
    out.mServiceRates.push_back({ ServiceName(name), rate });
  }
  const auto& peers = ReadArray(aFields[12]);
  for (uint32_t n = 0; n < peers.size; ++n) {
    out.mKnownPeers.push_back(ReadEndpoint(peers.ptr[n]));
  }
  const auto [configuration, targets, evacuations] =
    aFields[14].as<std::tuple<uint64_t, uint64_t, uint64_t>>();
  out.mConfigurationRevision = configuration;
  out.mTargetRevision = targets;
  out.mEvacuationRevision = evacuations;
  const auto& crashes = ReadArray(aFields[13]);
  for (uint32_t n = 0; n < crashes.size; ++n) {
    const auto [request, count] =
      crashes.ptr[n].as<std::tuple<uint64_t, unsigned>>();
    out.mCrashCounts.push_back({ { request }, count });
  }
  return out;
}

Error Malformed()
{
  return { ResultCode::MalformedMessage, "malformed instance summary", {} };
}

} // namespace

std::string EncodeSummary(const InstanceSummary& aSummary)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  packer.pack_array(kFieldCount);
  packer.pack(kFormatVersion);
  packer.pack(aSummary.mName.Text());
  packer.pack(aSummary.mIncarnation);
  packer.pack(aSummary.mSequence);
  packer.pack(aSummary.mZone.Text());
  packer.pack(aSummary.mRegion.Text());
  PackEndpoint(packer, aSummary.mPeer);
  PackEndpoint(packer, aSummary.mCaller);
  packer.pack(aSummary.mReady);
  packer.pack(aSummary.mTableVersion);
  packer.pack_array(uint32_t(aSummary.mWorkspaceUses.size()));
  for (const auto& it : aSummary.mWorkspaceUses) {
    packer.pack_array(3);
    packer.pack(it.mWorkspace.Text());
    packer.pack(float(it.mDemand));
    packer.pack(it.mAdmitted);
  }
  packer.pack_array(uint32_t(aSummary.mServiceRates.size()));
  for (const auto& it : aSummary.mServiceRates) {
    packer.pack_array(2);
    packer.pack(it.mService.Text());
    packer.pack(float(it.mRate));
  }
  packer.pack_array(uint32_t(aSummary.mKnownPeers.size()));
  for (const auto& it : aSummary.mKnownPeers) {
    PackEndpoint(packer, it);
  }
  packer.pack_array(uint32_t(aSummary.mCrashCounts.size()));
  for (const auto& it : aSummary.mCrashCounts) {
    packer.pack_array(2);
    packer.pack(it.mRequest.mValue);
    packer.pack(it.mCount);
  }
  packer.pack_array(3);
  packer.pack(aSummary.mConfigurationRevision);
  packer.pack(aSummary.mTargetRevision);
  packer.pack(aSummary.mEvacuationRevision);
  return std::string(buf.data(), buf.size());
}

Result<InstanceSummary> DecodeSummary(std::string_view aBytes)
{
  if (aBytes.size() > kMaxSummaryBytes) {
    return Error{ ResultCode::MessageTooLarge, "summary is too large", {} };
  }
  try {
    // Arrays are nested at most three deep; the size bounds the number of
    // elements.
    const msgpack::unpack_limit limit(
      kMaxSummaryBytes, 0, kMaxSummaryBytes, kMaxSummaryBytes, 0, 4);
    const auto handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
    const auto& fields = ReadArray(handle.get());
    if (fields.size == 0) {
      return Malformed();
    }
    if (fields.ptr[0].as<unsigned>() != kFormatVersion) {
      return Error{ ResultCode::UnsupportedVersion,
                    "summary has another format version",
                    {} };
    }
    if (fields.size != kFieldCount) {
      return Malformed();
    }
    return ReadSummary(fields.ptr);
  } catch (const msgpack::unpack_error&) {
    return Malformed();
  } catch (const msgpack::type_error&) {
    return Malformed();
  }
}

} // namespace pollenway
