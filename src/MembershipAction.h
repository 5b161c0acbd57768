#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "ZoneView.h"

#include <string>
#include <variant>
#include <vector>

/// What membership asks of the shell or, for the first three, of
/// `MembershipTable`, which turns them into messages.
namespace pollenway::act {

/// Send a heartbeat that asks for a lease to a member of the own zone.
struct SendLeaseRequest
{
  ZoneMember mTo;
};

/// Ask a member to confirm the eviction of `mMember`.
struct RequestEvictionConfirmation
{
  ZoneMember mTo;
  InstanceName mMember;
  Incarnation mMemberIncarnation = 0;
  uint64_t mViewNumber = 0;
};

/// Ask the only member of the view to add this instance.
struct RequestJoin
{
  ZoneMember mTo;
};

/// Read the store object `zoneview/<own zone>`; answer with `OnStoreRead`.
struct ReadView
{};

/// Write the store object `zoneview/<own zone>` by conditional update; answer
/// with `OnStoreWrite`.
struct WriteView
{
  std::string mText;
  /// Version that the update replaces; empty: the object must not exist.
  std::string mVersion;
};

/// Another view of the own zone is in force: owners have changed.
struct ViewAdopted
{
  ZoneView mView;
};

/// This run is no longer a member and never will be again. Stop using all that
/// it owns at once. Unless it is leaving, the process joins with a new
/// `ZoneMembership` and a new incarnation.
struct Ended
{};

/// Send a message to an instance. A reply goes back on the link of its request;
/// others open a link if there is none.
struct SendPeer
{
  InstanceName mTo;
  /// Empty if it is not known: use a link on which the instance has sent.
  std::string mAddress;
  uint16_t mPort = 0;
  PeerMessage mMessage;
};

/// The link to the instance is silent: close it and use a new one.
struct CloseLink
{
  InstanceName mTo;
};

/// A peer sent a configuration with a higher generation: validate it and pass
/// it to `ConfigurationTracker::Accept`.
struct ConfigurationOffered
{
  InstanceName mFrom;
  uint64_t mGeneration = 0;
  std::string mText;
};

/// A problem that operators should see, as one line for the log.
struct LogWarning
{
  std::string mText;
};

} // namespace pollenway::act

namespace pollenway {

using MembershipAction = std::variant<act::SendLeaseRequest,
                                      act::RequestEvictionConfirmation,
                                      act::RequestJoin,
                                      act::ReadView,
                                      act::WriteView,
                                      act::ViewAdopted,
                                      act::Ended,
                                      act::SendPeer,
                                      act::CloseLink,
                                      act::ConfigurationOffered,
                                      act::LogWarning>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace pollenway
