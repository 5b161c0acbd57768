#include "PeerMessage.h"

#include "Msgpack.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <type_traits>

namespace pollenway {

namespace {

constexpr std::string_view kKindNames[] = {
  "Heartbeat",
  "HeartbeatReply",
  "Join",
  "FetchConfiguration",
  "Configuration",
  "Withdrawals",
  "Admit",
  "AdmitReply",
  "AccountHandover",
  "AccountHandoverReply",
  "ObjectChanged",
  "SlotHandover",
  "SlotHandoverReply",
  "Home",
  "Steering",
  "SteeringReply",
  "EvictConfirm",
  "EvictConfirmReply",
  "Leaving",
  "CrashSuspect",
  "CrashCleared",
  "FetchView",
  "View",
  "ReadObjects",
  "ObjectsRead",
};
static_assert(std::size(kKindNames) == std::variant_size_v<PeerBody>);

// Keys of the envelope's map. Numbers, because names would take a third of a
// heartbeat's size.
enum Field : uint8_t
{
  FieldVersion = 0,
  FieldKind = 1,
  FieldSender = 2,
  FieldIncarnation = 3,
  FieldRequestId = 4,
  FieldIsReply = 5,
  FieldReceiverIncarnation = 6,
  FieldBody = 7,
};

constexpr uint32_t kFieldCount = 8;
constexpr size_t kMaxNameLength = 255;
// Durations are encoded in nanoseconds. No valid one exceeds a day.
constexpr Duration kMaxDuration = std::chrono::hours(24);
constexpr uint32_t kMaxDepth = 8;
// Limit of msgpack objects in one message. A decoded object takes 24 bytes, so
// the tree of this many objects stays below the maximum frame size.
constexpr size_t kMaxObjects = 40'000;

template<typename T>
concept Body = requires(T& aBody)
{
  T::Fields(aBody);
};

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsVariant : std::false_type
{
};
template<typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type
{
};
template<typename T>
struct IsId : std::false_type
{
};
template<typename Tag>
struct IsId<StrongId<Tag>> : std::true_type
{
};

using Packer = msgpack::packer<msgpack::sbuffer>;

void PackText(Packer& aOut, const std::string& aText)
{
  aOut.pack_str(uint32_t(aText.size()));
  aOut.pack_str_body(aText.data(), uint32_t(aText.size()));
}

template<typename T>
void Pack(Packer& aOut, const T& aValue)
{
  if constexpr (Body<T>) {
    const auto fields = T::Fields(aValue);
    aOut.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto&... aFields) { (Pack(aOut, aFields), ...); },
               fields);
  } else if constexpr (IsVector<T>::value) {
    aOut.pack_array(uint32_t(aValue.size()));
    for (const auto& it : aValue) {
      Pack(aOut, it);
    }
  } else if constexpr (IsOptional<T>::value) {
    if (aValue) {
      Pack(aOut, *aValue);
    } else {
      aOut.pack_nil();
    }
  } else if constexpr (std::is_same_v<T, Allotment>) {
    PackText(aOut, aValue.ToJson());
  } else if constexpr (IsVariant<T>::value) {
    aOut.pack_array(2);
    aOut.pack(uint64_t(aValue.index()));
    std::visit([&](const auto& aIt) { Pack(aOut, aIt); }, aValue);
  } else if constexpr (IsId<T>::value) {
    PackText(aOut, aValue.Text());
  } else if constexpr (std::is_same_v<T, std::string>) {
    PackText(aOut, aValue);
  } else if constexpr (std::is_same_v<T, Duration>) {
    aOut.pack(uint64_t(std::max<Duration::rep>(0, aValue.count())));
  } else if constexpr (std::is_enum_v<T>) {
    aOut.pack(uint64_t(aValue));
  } else {
    static_assert(std::is_arithmetic_v<T>);
    aOut.pack(aValue);
  }
}

template<typename T>
bool Unpack(const msgpack::object& aIn, T& aValue);

bool UnpackText(const msgpack::object& aIn, std::string& aText)
{
  if (aIn.type != msgpack::type::STR) {
    return false;
  }
  aText.assign(aIn.via.str.ptr, aIn.via.str.size);
  return true;
}

template<typename T>
bool UnpackFields(const msgpack::object& aIn, T& aValue)
{
  auto fields = T::Fields(aValue);
  constexpr size_t n = std::tuple_size_v<decltype(fields)>;
  if (aIn.type != msgpack::type::ARRAY || aIn.via.array.size < n) {
    return false;
  }
  const msgpack::object* next = aIn.via.array.ptr;
  return std::apply(
    [&](auto&... aFields) { return (Unpack(*next++, aFields) && ...); },
    fields);
}

template<size_t Index, typename... Ts>
bool UnpackVariantAt(uint64_t aIndex,
                     const msgpack::object& aIn,
                     std::variant<Ts...>& aValue)
{
  if constexpr (Index == sizeof...(Ts)) {
    return false;
  } else if (aIndex == Index) {
    return Unpack(aIn, aValue.template emplace<Index>());
  } else {
    return UnpackVariantAt<Index + 1>(aIndex, aIn, aValue);
  }
}

// Highest valid values of the enumerations that messages contain.
constexpr BeginVerdict MaxValueOf(BeginVerdict)
{
  return BeginVerdict::Refused;
}
constexpr AttemptOutcome MaxValueOf(AttemptOutcome)
{
  return AttemptOutcome::NotRun;
}
constexpr RecordState MaxValueOf(RecordState)
{
  return RecordState::NotRun;
}
constexpr FeedAnswer MaxValueOf(FeedAnswer)
{
  return FeedAnswer::HistoryGone;
}
constexpr ResultCode MaxValueOf(ResultCode)
{
  return ResultCode::InternalError;
}

template<typename T>
bool Unpack(const msgpack::object& aIn, T& aValue)
{
  if constexpr (Body<T>) {
    return UnpackFields(aIn, aValue);
  } else if constexpr (IsVector<T>::value) {
    if (aIn.type != msgpack::type::ARRAY) {
      return false;
    }
    // Grows with the decoded elements instead of reserving the claimed count,
    // because an element in memory is larger than its shortest encoding.
    for (uint32_t i = 0; i < aIn.via.array.size; ++i) {
      if (!Unpack(aIn.via.array.ptr[i], aValue.emplace_back())) {
        return false;
      }
    }
    return true;
  } else if constexpr (IsOptional<T>::value) {
    return aIn.type == msgpack::type::NIL || Unpack(aIn, aValue.emplace());
  } else if constexpr (IsId<T>::value) {
    std::string text;
    if (!UnpackText(aIn, text) || text.size() > kMaxNameLength) {
      return false;
    }
    aValue = T(std::move(text));
    return true;
  } else if constexpr (std::is_same_v<T, std::string>) {
    return UnpackText(aIn, aValue);
  } else if constexpr (std::is_same_v<T, bool>) {
    if (aIn.type != msgpack::type::BOOLEAN) {
      return false;
    }
    aValue = aIn.via.boolean;
    return true;
  } else if constexpr (std::is_same_v<T, double>) {
    // msgpack encodes whole numbers as integers.
    if (aIn.type == msgpack::type::POSITIVE_INTEGER) {
      aValue = double(aIn.via.u64);
    } else if (aIn.type == msgpack::type::NEGATIVE_INTEGER) {
      aValue = double(aIn.via.i64);
    } else if (aIn.type == msgpack::type::FLOAT64) {
      aValue = aIn.via.f64;
    } else {
      return false;
    }
    return std::isfinite(aValue);
  } else if constexpr (std::is_same_v<T, Allotment>) {
    std::string text;
    if (!UnpackText(aIn, text)) {
      return false;
    }
    auto parsed = Allotment::Parse(text);
    if (parsed) {
      aValue = std::move(parsed.value());
    }
    return parsed.has_value();
  } else if constexpr (std::is_same_v<T, Duration>) {
    uint64_t n = 0;
    if (!Unpack(aIn, n) || n > uint64_t(kMaxDuration.count())) {
      return false;
    }
    aValue = Duration(Duration::rep(n));
    return true;
  } else if constexpr (std::is_enum_v<T>) {
    uint64_t number = 0;
    if (!Unpack(aIn, number) || number > uint64_t(MaxValueOf(T{}))) {
      return false;
    }
    aValue = T(number);
    return true;
  } else if constexpr (IsVariant<T>::value) {
    if (aIn.type != msgpack::type::ARRAY || aIn.via.array.size != 2) {
      return false;
    }
    uint64_t index = 0;
    return Unpack(aIn.via.array.ptr[0], index) &&
           UnpackVariantAt<0>(index, aIn.via.array.ptr[1], aValue);
  } else {
    static_assert(std::is_unsigned_v<T>);
    if (aIn.type != msgpack::type::POSITIVE_INTEGER ||
        aIn.via.u64 > std::numeric_limits<T>::max()) {
      return false;
    }
    aValue = T(aIn.via.u64);
    return true;
  }
}

// Scans the bytes without allocating, so that a count that exceeds the frame is
// detected before memory is reserved for it.
struct BoundsVisitor : msgpack::null_visitor
{
  size_t mObjects = 0;
  uint32_t mDepth = 0;
  bool mIsOverLimit = false;

  bool Open(uint64_t aCount)
  {
    mObjects += aCount;
    ++mDepth;
    mIsOverLimit = mObjects > kMaxObjects || mDepth > kMaxDepth;
    return !mIsOverLimit;
  }
  bool Close()
  {
    --mDepth;
    return true;
  }
  // Names required by msgpack.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(uint32_t aCount) { return Open(aCount); }
  bool end_array() { return Close(); }
  bool start_map(uint32_t aCount) { return Open(2 * uint64_t(aCount)); }
  bool end_map() { return Close(); }
  bool visit_ext(const char*, uint32_t) { return false; }
  void parse_error(size_t, size_t) {}
  void insufficient_bytes(size_t, size_t) {}
  // NOLINTEND(readability-identifier-naming)
};

Error Malformed(std::string aDetail)
{
  return { ResultCode::MalformedMessage, std::move(aDetail), {} };
}

template<size_t Index>
bool UnpackBodyAt(size_t aIndex, const msgpack::object& aIn, PeerBody& aBody)
{
  if constexpr (Index == std::variant_size_v<PeerBody>) {
    return false;
  } else if (aIndex == Index) {
    return Unpack(aIn, aBody.emplace<Index>());
  } else {
    return UnpackBodyAt<Index + 1>(aIndex, aIn, aBody);
  }
}

Result<PeerMessage> DecodeTree(const msgpack::object& aTree)
{
  if (aTree.type != msgpack::type::MAP) {
    return Malformed("the message is not a map");
  }
  const msgpack::object* fields[kFieldCount] = {};
  for (uint32_t i = 0; i < aTree.via.map.size; ++i) {
    const auto& it = aTree.via.map.ptr[i];
    if (it.key.type != msgpack::type::POSITIVE_INTEGER) {
      return Malformed("a key of the envelope is not an unsigned integer");
    }
    if (it.key.via.u64 >= kFieldCount) {
      continue;
    }
    if (fields[it.key.via.u64]) {
      return Malformed("duplicate field in the envelope");
    }
    fields[it.key.via.u64] = &it.val;
  }
  unsigned version = 0;
  if (!fields[FieldVersion] || !Unpack(*fields[FieldVersion], version)) {
    return Malformed("the message has no version");
  }
  if (version != kPeerProtocolVersion) {
    return Error{ ResultCode::UnsupportedVersion,
                  "unsupported protocol version " + std::to_string(version),
                  {} };
  }
  if (!std::all_of(std::begin(fields), std::end(fields), [](auto* aField) {
        return aField != nullptr;
      })) {
    return Malformed("the envelope is missing a field");
  }
  PeerMessage out;
  unsigned kind = 0;
  if (!Unpack(*fields[FieldKind], kind) ||
      !Unpack(*fields[FieldSender], out.mSender) ||
      !Unpack(*fields[FieldIncarnation], out.mIncarnation) ||
      !Unpack(*fields[FieldRequestId], out.mRequestId) ||
      !Unpack(*fields[FieldIsReply], out.mIsReply) ||
      !Unpack(*fields[FieldReceiverIncarnation], out.mReceiverIncarnation)) {
    return Malformed("a field of the envelope has the wrong type");
  }
  if (out.mSender.IsEmpty()) {
    return Malformed("the sender's name is empty");
  }
  if (kind == 0 || kind > std::variant_size_v<PeerBody>) {
    return Malformed("unknown message kind " + std::to_string(kind));
  }
  if (!UnpackBodyAt<0>(kind - 1, *fields[FieldBody], out.mBody)) {
    return Malformed("the body of " + std::string(Name(PeerKind(kind))) +
                     " has a missing field or a wrong type");
  }
  return out;
}

} // namespace

std::string_view Name(PeerKind aKind)
{
  const size_t index = size_t(aKind) - 1;
  return index < std::size(kKindNames) ? kKindNames[index] : "Unknown";
}

Result<std::string> EncodePeerMessage(const PeerMessage& aMessage)
{
  msgpack::sbuffer buf;
  Packer out(buf);
  out.pack_map(kFieldCount);
  out.pack(uint8_t(FieldVersion)).pack(kPeerProtocolVersion);
  out.pack(uint8_t(FieldKind)).pack(uint8_t(aMessage.Kind()));
  out.pack(uint8_t(FieldSender));
  Pack(out, aMessage.mSender);
  out.pack(uint8_t(FieldIncarnation)).pack(aMessage.mIncarnation);
  out.pack(uint8_t(FieldRequestId)).pack(aMessage.mRequestId);
  out.pack(uint8_t(FieldIsReply)).pack(aMessage.mIsReply);
  out.pack(uint8_t(FieldReceiverIncarnation))
    .pack(aMessage.mReceiverIncarnation);
  out.pack(uint8_t(FieldBody));
  std::visit([&](const auto& aBody) { Pack(out, aBody); }, aMessage.mBody);
  if (buf.size() > kMaxPeerFrame) {
    return Error{ ResultCode::MessageTooLarge,
                  std::string(Name(aMessage.Kind())) + " of " +
                    std::to_string(buf.size()) +
                    " bytes exceeds the size limit",
                  {} };
  }
  return std::string(buf.data(), buf.size());
}

Result<std::string> EncodePeerFrame(const PeerMessage& aMessage)
{
  BOOST_OUTCOME_TRY(body, EncodePeerMessage(aMessage));
  const auto n = uint32_t(body.size());
  std::string out;
  out.reserve(4 + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(char(n >> shift));
  }
  return out += body;
}

Result<PeerMessage> DecodePeerMessage(std::string_view aBytes)
{
  if (aBytes.size() > kMaxPeerFrame) {
    return Error{ ResultCode::MessageTooLarge,
                  std::to_string(aBytes.size()) +
                    " bytes exceed the size limit",
                  {} };
  }
  BoundsVisitor bounds;
  size_t offset = 0;
  const bool isWhole =
    msgpack::parse(aBytes.data(), aBytes.size(), offset, bounds);
  if (bounds.mIsOverLimit) {
    return Error{ ResultCode::MessageTooLarge,
                  "too many or too deeply nested values",
                  {} };
  }
  if (!isWhole || offset != aBytes.size()) {
    return Malformed("the message is not exactly one msgpack value");
  }
  try {
    const auto handle = msgpack::unpack(
      aBytes.data(),
      aBytes.size(),
      [](msgpack::type::object_type, size_t, void*) { return true; });
    return DecodeTree(handle.get());
  } catch (const msgpack::unpack_error& e) {
    return Malformed(e.what());
  }
}

} // namespace pollenway
