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

/// One run of an instance as a member of its zone's view.
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

  /// Members of earlier views by number, at most `kMaxEarlierHomeViews` of
  /// them. The homes of idempotency records need them to collect records if the
  /// view changed again before they had done so.
  std::map<uint64_t, std::vector<HomeMember>> mEarlier{};

  bool operator==(const ZoneView&) const = default;

  /// This view and the earlier ones as the homes of records see them.
  HomeView Homes() const;

  /// The member of that name, or null.
  const ZoneMember* Find(const InstanceName& aName) const;
  bool Contains(const InstanceName& aName, Incarnation aIncarnation) const;
  std::vector<InstanceName> Names() const;
};

/// The next view with the member added. A member of the same name is replaced:
/// a new process of that name proves that the old one has ended.
ZoneView WithMember(const ZoneView& aView, const ZoneMember& aMember);

/// The next view without that run of the instance, after a graceful leave or
/// an eviction; `aView` unchanged if it is not a member.
ZoneView WithoutMember(const ZoneView& aView,
                       const InstanceName& aName,
                       Incarnation aIncarnation);

/// The same view, with the same number, in which the member has completed its
/// collection for view `aCompleted`.
ZoneView WithCompletedView(const ZoneView& aView,
                           const InstanceName& aName,
                           uint64_t aCompleted);

/// JSON text of the store object.
std::string ZoneViewToJson(const ZoneView& aView);

/// Errors: SyntaxError, MissingField, WrongType, Duplicate.
Result<ZoneView> ZoneViewFromJson(std::string_view aText);

} // namespace pollenway
