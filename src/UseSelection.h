#pragma once

#include "WorkspaceUse.h"

#include <map>
#include <vector>

namespace pollenway {

/// Selects the uses to report in a digest: those that have changed, a few more
/// times in case a datagram is lost, and all of them once in a while.
class UseSelection
{
public:
  /// Called once per digest.
  std::vector<WorkspaceUse> Select(const std::vector<WorkspaceUse>& aUses);

private:
  struct Sent
  {
    double mDemand = 0;
    int64_t mAdmitted = 0;
    unsigned mRepeats = 0;
  };

  std::map<WorkspaceName, Sent> mSent;
  unsigned mDigests = 0;
};

} // namespace pollenway
