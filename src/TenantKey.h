#pragma once

#include "Ids.h"

#include <string>

namespace pollenway {

/// A workspace's key. The key itself is known to its callers only.
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
