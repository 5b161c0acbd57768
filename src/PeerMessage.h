#pragma once

#include "PeerBodies.h"
#include "Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace pollenway {

/// Identifies one run of an instance's process. The process chooses a unique
/// value at its start. Values are only compared for equality.
using Incarnation = uint64_t;

/// Numbers of the message kinds in the protocol; never reuse one. Each equals
/// the index in `PeerBody` plus one.
enum class PeerKind : uint8_t
{
  Heartbeat = 1,
  HeartbeatReply,
  Join,
  FetchConfiguration,
  Configuration,
  Withdrawals,
  Admit,
  AdmitReply,
  AccountHandover,
  AccountHandoverReply,
  ObjectChanged,
  SlotHandover,
  SlotHandoverReply,
  Home,
  Steering,
  SteeringReply,
  EvictConfirm,
  EvictConfirmReply,
  Leaving,
  CrashSuspect,
  CrashCleared,
  FetchView,
  View,
  ReadObjects,
  ObjectsRead,
};

using PeerBody = std::variant<peer::Heartbeat,
                              peer::HeartbeatReply,
                              peer::Join,
                              peer::FetchConfiguration,
                              peer::Configuration,
                              peer::Withdrawals,
                              peer::Admit,
                              peer::AdmitReply,
                              peer::AccountHandover,
                              peer::AccountHandoverReply,
                              peer::ObjectChanged,
                              peer::SlotHandover,
                              peer::SlotHandoverReply,
                              peer::Home,
                              peer::Steering,
                              peer::SteeringReply,
                              peer::EvictConfirm,
                              peer::EvictConfirmReply,
                              peer::Leaving,
                              peer::CrashSuspect,
                              peer::CrashCleared,
                              peer::FetchView,
                              peer::View,
                              peer::ReadObjects,
                              peer::ObjectsRead>;

/// Returns the name of the enumerator, for logs and counters.
std::string_view Name(PeerKind aKind);

/// A message between instances: an envelope and a typed body.
struct PeerMessage
{
  InstanceName mSender;
  Incarnation mIncarnation = 0;
  /// Chosen by the requester, never 0 for a request that expects an answer. A
  /// reply repeats it.
  uint64_t mRequestId = 0;
  bool mIsReply = false;
  /// Incarnation of the process that the message is meant for, 0 if the sender
  /// does not know it. A reply repeats the requester's incarnation, so that a
  /// restarted process ignores answers to requests of its predecessor.
  Incarnation mReceiverIncarnation = 0;
  PeerBody mBody;

  PeerKind Kind() const { return PeerKind(mBody.index() + 1); }
};

/// Maximum number of bytes after the length field of a frame.
constexpr size_t kMaxPeerFrame = 1024 * 1024;
constexpr unsigned kPeerProtocolVersion = 1;

/// Encodes a message without the length field. Errors: MessageTooLarge.
Result<std::string> EncodePeerMessage(const PeerMessage& aMessage);

/// Encodes a message with the 4-byte big-endian length in front, ready to be
/// sent. Errors: MessageTooLarge.
Result<std::string> EncodePeerFrame(const PeerMessage& aMessage);

/// Decodes the untrusted bytes after a frame's length field. Never throws, and
/// its working memory is bounded by a constant multiple of the frame's size.
/// Errors: MalformedMessage, MessageTooLarge, UnsupportedVersion.
Result<PeerMessage> DecodePeerMessage(std::string_view aBytes);

} // namespace pollenway
