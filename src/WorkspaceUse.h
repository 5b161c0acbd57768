#pragma once

#include "Ids.h"

#include <cstdint>

namespace pollenway {

/// What one instance tells the others about a workspace.
struct WorkspaceUse
{
  WorkspaceName mWorkspace;
  /// Requests per second that callers sent there, admitted or not.
  double mDemand = 0;
  /// Requests admitted since the instance's start, less those that did not
  /// run after all.
  int64_t mAdmitted = 0;

  bool operator==(const WorkspaceUse&) const = default;
};

} // namespace pollenway
