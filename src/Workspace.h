#pragma once

#include "Ids.h"

namespace pollenway {

/// A tenant and its limits, which apply to the sum over all instances.
struct Workspace
{
  WorkspaceName mName;
  /// Rate limit in requests/s.
  double mRate = 0;
  /// Maximum number of requests in a burst.
  double mBurst = 0;
  /// Weight of the workspace, relative to others, when a target or region is
  /// full.
  double mWeight = 1;

  bool operator==(const Workspace&) const = default;
};

} // namespace pollenway
