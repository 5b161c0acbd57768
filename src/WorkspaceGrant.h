#pragma once

#include "Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// A workspace with its keys and what it may use.
struct WorkspaceGrant
{
  WorkspaceName mName;
  /// SHA-256 of each key in lower-case hexadecimal.
  std::vector<std::string> mKeyDigests;
  /// Requests per second over all instances; 0 if there is no limit.
  double mRate = 0;
  /// Requests that may come at once over all instances.
  double mBurst = 0;
  /// Goes before the priority of a route.
  std::optional<unsigned> mPriority;
  /// Regions in which the workspace may be served; empty for all.
  std::vector<RegionName> mAllowedRegions;

  bool operator==(const WorkspaceGrant&) const = default;
};

} // namespace pollenway
