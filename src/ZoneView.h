#pragma once

#include "HomeView.h"
#include "Ids.h"
#include "PeerMessage.h"
#include "Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// An incarnation of an instance as a member of its zone's view.
struct ZoneMember
{
  InstanceName mName;
  Incarnation mIncarnation = 0;
  /// IP address in text form.
  std::string mAddress;
  uint16_t mEntryPort = 0;
  uint16_t mPeerPort = 0;
  uint16_t mRelayPort = 0;
  /// Last view for which the member completed its collection of idempotency
  /// records; 0 if none.
  uint64_t mCompletedView = 0;

  bool operator==(const ZoneMember&) const = default;
};

/// Numbered list of a zone's members, kept in the store object
/// `zoneview/<zone>` and changed by conditional update only.
struct ZoneView
{
  ZoneName mZone;
  /// 0: no view has been written yet.
  uint64_t mNumber = 0;
  /// Ordered by name; each name occurs once.
  std::vector<ZoneMember> mMembers;

  /// Members of earlier views by number, at most `kMaxEarlierHomeViews` views.
  /// The homes of idempotency records need them if the view changed again
  /// before they had collected the records.
  std::map<uint64_t, std::vector<HomeMember>> mEarlier{};

  bool operator==(const ZoneView&) const = default;

  /// Returns this view and the earlier ones in the form for homes of records.
  HomeView Homes() const;

  /// Returns the member of that name, or null.
  const ZoneMember* Find(const InstanceName& aName) const;
  bool Contains(const InstanceName& aName, Incarnation aIncarnation) const;
  std::vector<InstanceName> Names() const;
};

/// Returns the next view with the member added. Replaces a member of the same
/// name: a new process of that name proves that the old one has ended.
ZoneView WithMember(const ZoneView& aView, const ZoneMember& aMember);

/// Returns the next view without that incarnation of the instance, after a
/// graceful leave or an eviction; `aView` unchanged if it is not a member.
ZoneView WithoutMember(const ZoneView& aView,
                       const InstanceName& aName,
                       Incarnation aIncarnation);

/// Returns the same view, with the same number, in which the member has
/// completed its collection for view `aCompleted`.
ZoneView WithCompletedView(const ZoneView& aView,
                           const InstanceName& aName,
                           uint64_t aCompleted);

/// Returns the JSON text of the store object.
std::string ZoneViewToJson(const ZoneView& aView);

/// Parses the JSON text of the store object. Errors: SyntaxError, MissingField,
/// WrongType, Duplicate.
Result<ZoneView> ZoneViewFromJson(std::string_view aText);

} // namespace pollenway
