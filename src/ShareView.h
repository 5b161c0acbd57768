#pragma once

#include "Ids.h"

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

namespace pollenway {

/// A member of a zone's view. A restarted member has a new incarnation.
struct ShareMember
{
  InstanceName mName;
  uint64_t mIncarnation = 0;

  auto operator<=>(const ShareMember&) const = default;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mName, aSelf.mIncarnation);
  }
};

/// The numbered member list of the own zone from `zoneview/<zone>`.
struct ShareView
{
  uint64_t mNumber = 0;
  std::vector<ShareMember> mMembers;
};

} // namespace pollenway
