#pragma once

#include "CrashCount.h"
#include "IpEndpoint.h"
#include "Msgpack.h"
#include "Result.h"
#include "ServiceDemand.h"
#include "StorePosition.h"
#include "WorkspaceUse.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of the datagrams between instances: a msgpack array whose first
/// element is the kind of the message, followed by its fields.
namespace pollenway::datagram {

/// Maximum size of a datagram: what is carried without excessive fragmentation
/// on loopback and data centre links.
constexpr size_t kMaxBytes = 8192;

enum class Kind : unsigned
{
  Summary = 1,
  Digest = 2,
  Roster = 3,
};

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Returns the kind of a datagram; empty if it is malformed or of an unknown
/// kind.
std::optional<Kind> PeekKind(std::string_view aBytes);

/// Starts an array of `aFieldCount` fields, including the kind, which is packed
/// as the first one.
void PackKind(Packer& aPacker, Kind aKind, uint32_t aFieldCount);
void PackEndpoint(Packer& aPacker, const IpEndpoint& aEndpoint);
void PackPosition(Packer& aPacker, const StorePosition& aPosition);
void PackUses(Packer& aPacker, const WorkspaceUse* aUses, size_t aCount);
void PackRates(Packer& aPacker, const std::vector<ServiceRate>& aRates);
void PackCrashCounts(Packer& aPacker, const std::vector<CrashCount>& aCounts);

/// The functions below throw `msgpack::type_error` if the object has another
/// type; `ReadFields` turns it into an error.
const msgpack::object_array& ReadArray(const msgpack::object& aObject);
IpEndpoint ReadEndpoint(const msgpack::object& aObject);
StorePosition ReadPosition(const msgpack::object& aObject);
std::vector<WorkspaceUse> ReadUses(const msgpack::object& aObject);
std::vector<ServiceRate> ReadRates(const msgpack::object& aObject);
std::vector<CrashCount> ReadCrashCounts(const msgpack::object& aObject);

/// Unpacks an untrusted datagram and passes its fields, the kind first, to
/// `aRead`. Errors: MalformedMessage, MessageTooLarge, UnsupportedVersion.
Result<void> ReadFields(
  std::string_view aBytes,
  Kind aKind,
  uint32_t aFieldCount,
  const std::function<void(const msgpack::object*)>& aRead);

} // namespace pollenway::datagram
