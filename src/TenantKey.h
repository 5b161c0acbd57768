#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// Record of a workspace's key. Only the callers know the key itself.
struct TenantKey
{
  KeyId mId;
  WorkspaceName mWorkspace;
  /// SHA-256 of the key in lower-case hexadecimal.
  std::string mDigest;
  bool mWithdrawn = false;

  bool operator==(const TenantKey&) const = default;
};

} // namespace pollenway
