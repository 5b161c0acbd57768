#include "DatagramFields.h"

namespace pollenway::datagram {

namespace {

/// Maximum nesting depth of arrays in a datagram.
constexpr size_t kMaxDepth = 8;

Error Malformed()
{
  return { ResultCode::MalformedMessage, "malformed datagram", {} };
}

} // namespace

std::optional<Kind> PeekKind(std::string_view aBytes)
{
  constexpr unsigned char kFixArray = 0x90;
  constexpr unsigned char kFixArrayMask = 0xf0;
  constexpr unsigned char kArray16 = 0xdc;
  if (aBytes.empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<unsigned char>(aBytes[0]);
  const size_t offset = (first & kFixArrayMask) == kFixArray ? 1
                        : first == kArray16                  ? 3
                                                             : aBytes.size();
  if (offset >= aBytes.size()) {
    return std::nullopt;
  }
  switch (static_cast<unsigned char>(aBytes[offset])) {
    case unsigned(Kind::Summary):
      return Kind::Summary;
    case unsigned(Kind::Digest):
      return Kind::Digest;
    case unsigned(Kind::Roster):
      return Kind::Roster;
    default:
      return std::nullopt;
  }
}

void PackKind(Packer& aPacker, Kind aKind, uint32_t aFieldCount)
{
  aPacker.pack_array(aFieldCount);
  aPacker.pack(unsigned(aKind));
}

void PackEndpoint(Packer& aPacker, const IpEndpoint& aEndpoint)
{
  aPacker.pack_array(2);
  aPacker.pack(aEndpoint.mAddress);
  aPacker.pack(aEndpoint.mPort);
}

void PackPosition(Packer& aPacker, const StorePosition& aPosition)
{
  aPacker.pack_array(2);
  aPacker.pack(aPosition.mEra.mValue);
  aPacker.pack(aPosition.mRevision);
}

void PackUses(Packer& aPacker, const WorkspaceUse* aUses, size_t aCount)
{
  aPacker.pack_array(uint32_t(aCount));
  for (size_t n = 0; n < aCount; ++n) {
    aPacker.pack_array(3);
    aPacker.pack(aUses[n].mWorkspace.Text());
    aPacker.pack(float(aUses[n].mDemand));
    aPacker.pack(aUses[n].mAdmitted);
  }
}

void PackRates(Packer& aPacker, const std::vector<ServiceRate>& aRates)
{
  aPacker.pack_array(uint32_t(aRates.size()));
  for (const auto& it : aRates) {
    aPacker.pack_array(2);
    aPacker.pack(it.mService.Text());
    aPacker.pack(float(it.mRate));
  }
}

void PackCrashCounts(Packer& aPacker, const std::vector<CrashCount>& aCounts)
{
  aPacker.pack_array(uint32_t(aCounts.size()));
  for (const auto& it : aCounts) {
    aPacker.pack_array(2);
    aPacker.pack(it.mRequest.mValue);
    aPacker.pack(it.mCount);
  }
}

const msgpack::object_array& ReadArray(const msgpack::object& aObject)
{
  if (aObject.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return aObject.via.array;
}

IpEndpoint ReadEndpoint(const msgpack::object& aObject)
{
  const auto [address, port] = aObject.as<std::tuple<std::string, uint16_t>>();
  return { address, port };
}

StorePosition ReadPosition(const msgpack::object& aObject)
{
  const auto [era, revision] = aObject.as<std::tuple<uint64_t, uint64_t>>();
  return { { era }, revision };
}

std::vector<WorkspaceUse> ReadUses(const msgpack::object& aObject)
{
  const auto& uses = ReadArray(aObject);
  std::vector<WorkspaceUse> out;
  out.reserve(uses.size);
  for (uint32_t n = 0; n < uses.size; ++n) {
    auto [name, demand, admitted] =
      uses.ptr[n].as<std::tuple<std::string, float, int64_t>>();
    out.push_back({ WorkspaceName(std::move(name)), demand, admitted });
  }
  return out;
}

std::vector<ServiceRate> ReadRates(const msgpack::object& aObject)
{
  const auto& rates = ReadArray(aObject);
  std::vector<ServiceRate> out;
  for (uint32_t n = 0; n < rates.size; ++n) {
    auto [name, rate] = rates.ptr[n].as<std::tuple<std::string, float>>();
    out.push_back({ ServiceName(std::move(name)), rate });
  }
  return out;
}

std::vector<CrashCount> ReadCrashCounts(const msgpack::object& aObject)
{
  const auto& crashes = ReadArray(aObject);
  std::vector<CrashCount> out;
  for (uint32_t n = 0; n < crashes.size; ++n) {
    const auto [request, count] =
      crashes.ptr[n].as<std::tuple<uint64_t, unsigned>>();
    out.push_back({ { request }, count });
  }
  return out;
}

Result<void> ReadFields(
  std::string_view aBytes,
  Kind aKind,
  uint32_t aFieldCount,
  const std::function<void(const msgpack::object*)>& aRead)
{
  if (aBytes.size() > kMaxBytes) {
    return Error{ ResultCode::MessageTooLarge, "datagram is too large", {} };
  }
  try {
    const msgpack::unpack_limit limit(
      kMaxBytes, 0, kMaxBytes, kMaxBytes, 0, kMaxDepth);
    const auto handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
    const auto& fields = ReadArray(handle.get());
    if (fields.size == 0) {
      return Malformed();
    }
    if (fields.ptr[0].as<unsigned>() != unsigned(aKind)) {
      return Error{ ResultCode::UnsupportedVersion,
                    "datagram has another kind",
                    {} };
    }
    if (fields.size != aFieldCount) {
      return Malformed();
    }
    aRead(fields.ptr);
    return outcome::success();
  } catch (const msgpack::unpack_error&) {
    return Malformed();
  } catch (const msgpack::type_error&) {
    return Malformed();
  }
}

} // namespace pollenway::datagram
