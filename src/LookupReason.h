#pragma once

#include "Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

/// Steps in the decision of a look-up.
enum class LookupReasonKind : uint8_t
{
  BlockMatched, ///< A client block matches; it belongs to this region.
  BlockUnknown, ///< No client block matches; uses the instance's own region.
  ServedBySuccessor, ///< Places retired or draining; uses the successor's
                     ///< region.
  MovedByShift,      ///< A traffic shift moves the caller to this region.
  NotAdmitted,       ///< Not within the region's admission share (value).
  NoZoneHeadroom,    ///< The zone has no headroom for this rate (value).
  Chosen,            ///< The zone is chosen; value: committed requests/s.
  AccountOwner, ///< The instance that owns the workspace's account comes first.
  PassedOver,   ///< Overloaded instances were skipped; value: their number.
  Refused,      ///< No region admits the caller.
};

/// Returns the name in snake case, for instance "block_matched".
std::string_view Name(LookupReasonKind aKind);

struct LookupReason
{
  LookupReasonKind mKind{};
  RegionName mRegion;
  /// Empty if the kind does not refer to a zone.
  ZoneName mZone;
  double mValue = 0;

  /// Returns "name region=... zone=... value=...", without the parts that are
  /// empty.
  std::string Text() const;
};

} // namespace pollenway
