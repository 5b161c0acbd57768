#pragma once

#include "Ids.h"

namespace pollenway {

/// A tenant with its limits, which count over all instances together.
struct Workspace
{
  WorkspaceName mName;
  /// Requests per second.
  double mRate = 0;
  /// Requests that may come at once.
  double mBurst = 0;
  /// Share of a full target or region, relative to other workspaces.
  double mWeight = 1;

  bool operator==(const Workspace&) const = default;
};

} // namespace pollenway
