#pragma once

#include "Ids.h"

#include <cstdint>

namespace pollenway {

/// One instance's report to the others about a workspace.
struct WorkspaceUse
{
  WorkspaceName mWorkspace;
  /// Requests per second that callers sent to the instance, admitted or not.
  double mDemand = 0;
  /// Requests admitted since the instance's start, minus those that were not
  /// run.
  int64_t mAdmitted = 0;

  bool operator==(const WorkspaceUse&) const = default;
};

} // namespace pollenway
