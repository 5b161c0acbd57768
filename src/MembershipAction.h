#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "ZoneView.h"

#include <string>
#include <variant>
#include <vector>

/// Actions that the membership classes return to their caller.
/// `MembershipTable` turns the first three into peer messages;
/// `MembershipService` carries out the others.
namespace pollenway::act {

/// Send a heartbeat with a lease request to a member of the own zone.
struct SendLeaseRequest
{
  ZoneMember mTo;
};

/// Request that a member confirms the eviction of `mMember`.
struct RequestEvictionConfirmation
{
  ZoneMember mTo;
  InstanceName mMember;
  Incarnation mMemberIncarnation = 0;
  uint64_t mViewNumber = 0;
};

/// Request that the only member of the view adds this instance.
struct RequestJoin
{
  ZoneMember mTo;
};

/// Read the store object `zoneview/<own zone>`; pass the result to
/// `OnStoreRead`.
struct ReadView
{};

/// Write the store object `zoneview/<own zone>` by conditional update; pass the
/// result to `OnStoreWrite`.
struct WriteView
{
  std::string mText;
  /// Version that the update replaces; if empty, the object must not exist.
  std::string mVersion;
};

/// A new view of the own zone is in force: owners have changed.
struct ViewAdopted
{
  ZoneView mView;
};

/// This incarnation is no longer a member and never will be again. Stop using
/// immediately all that it owns. Unless it is leaving, the process joins with a
/// new `ZoneMembership` and a new incarnation.
struct Ended
{};

/// Send a message to an instance. A reply uses the link of its request; other
/// messages open a link if there is none.
struct SendPeer
{
  InstanceName mTo;
  /// Empty if unknown: use a link on which the instance has sent a message.
  std::string mAddress;
  uint16_t mPort = 0;
  PeerMessage mMessage;
};

/// Close the silent link to the instance and use a new one.
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

/// Log one line about a problem that operators should see.
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
