#pragma once

#include <string>

namespace pollenway {

/// Entry of the platform's list of instances, which may be stale.
struct ListedInstance
{
  std::string mName;
  /// "live", "leaving" or "terminated".
  std::string mState;
};

} // namespace pollenway
