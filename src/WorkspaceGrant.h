#pragma once

#include "Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// A workspace with its keys and limits.
struct WorkspaceGrant
{
  WorkspaceName mName;
  /// SHA-256 of each key in lower-case hexadecimal.
  std::vector<std::string> mKeyDigests;
  /// Requests per second over all instances; 0 if there is no limit.
  double mRate = 0;
  /// Burst size over all instances, in requests.
  double mBurst = 0;
  /// Overrides the priority of a route.
  std::optional<unsigned> mPriority;
  /// Regions in which the workspace may be served; empty for all.
  std::vector<RegionName> mAllowedRegions;

  bool operator==(const WorkspaceGrant&) const = default;
};

} // namespace pollenway
