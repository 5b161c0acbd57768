#include "WorkspaceNumbers.h"

#include "HashOf.h"

namespace pollenway {

uint32_t WorkspaceNumbers::Of(const WorkspaceName& aWorkspace)
{
  return uint32_t(HashOf({ aWorkspace.Text() }));
}

void WorkspaceNumbers::Set(const std::vector<WorkspaceName>& aWorkspaces)
{
  mNames.clear();
  for (const auto& it : aWorkspaces) {
    mNames[Of(it)].push_back(it);
  }
}

const std::vector<WorkspaceName>& WorkspaceNumbers::Find(uint32_t aNumber) const
{
  static const std::vector<WorkspaceName> kNone;
  const auto it = mNames.find(aNumber);
  return it == mNames.end() ? kNone : it->second;
}

} // namespace pollenway
