#include "InstanceRoster.h"

#include "DatagramFields.h"

namespace pollenway {

namespace {

using namespace datagram;

constexpr uint32_t kFieldCount = 2;

} // namespace

std::string EncodeRoster(const InstanceRoster& aRoster)
{
  msgpack::sbuffer buf;
  Packer packer(buf);
  PackKind(packer, Kind::Roster, kFieldCount);
  packer.pack_array(uint32_t(aRoster.mEntries.size()));
  for (const auto& it : aRoster.mEntries) {
    packer.pack_array(2);
    packer.pack(it.mZone.Text());
    PackEndpoint(packer, it.mPeer);
  }
  return std::string(buf.data(), buf.size());
}

Result<InstanceRoster> DecodeRoster(std::string_view aBytes)
{
  InstanceRoster out;
  BOOST_OUTCOME_TRYV(ReadFields(
    aBytes, Kind::Roster, kFieldCount, [&](const msgpack::object* aFields) {
      const auto& entries = ReadArray(aFields[1]);
      for (uint32_t n = 0; n < entries.size; ++n) {
        const auto& entry = ReadArray(entries.ptr[n]);
        if (entry.size != 2) {
          throw msgpack::type_error();
        }
        out.mEntries.push_back({ ZoneName(entry.ptr[0].as<std::string>()),
                                 ReadEndpoint(entry.ptr[1]) });
      }
    }));
  return out;
}

} // namespace pollenway
