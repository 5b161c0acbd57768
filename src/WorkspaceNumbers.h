#pragma once

#include "Ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// Numbers that stand for workspaces in digests, where names would take most of
/// the bytes. Two workspaces may have the same number; a report for it then
/// counts for both, so that neither gets more than its rate.
class WorkspaceNumbers
{
public:
  static uint32_t Of(const WorkspaceName& aWorkspace);

  /// Sets the known workspaces; reports for others are ignored.
  void Set(const std::vector<WorkspaceName>& aWorkspaces);
  /// Returns the workspaces with this number; empty if there is none.
  const std::vector<WorkspaceName>& Find(uint32_t aNumber) const;

private:
  std::unordered_map<uint32_t, std::vector<WorkspaceName>> mNames;
};

} // namespace pollenway
