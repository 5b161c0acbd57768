#pragma once

#include "Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

/// Steps of a look-up's decision.
enum class LookupReasonKind : uint8_t
{
  BlockMatched,      ///< The client block has this region.
  BlockUnknown,      ///< No client block; the instance's own region counts.
  ServedBySuccessor, ///< Retired or draining places; the successor's region.
  MovedByShift,      ///< A traffic shift moves the caller to this region.
  NotAdmitted,       ///< Outside the region's admission share (value).
  NoZoneHeadroom,    ///< No headroom in the zone for this rate (value).
  Chosen,            ///< The zone was chosen; value: promised requests/s.
  AccountOwner, ///< The zone's owner of the workspace's account comes first.
  PassedOver,   ///< Instances passed over as loaded (value: how many).
  Refused,      ///< No region admits the caller.
};

/// "block_matched" and so on.
std::string_view Name(LookupReasonKind aKind);

struct LookupReason
{
  LookupReasonKind mKind{};
  RegionName mRegion;
  /// Empty where the kind is not about a zone.
  ZoneName mZone;
  double mValue = 0;

  /// "name region=... zone=... value=...".
  std::string Text() const;
};

} // namespace pollenway
