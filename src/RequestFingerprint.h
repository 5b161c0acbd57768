#pragma once

#include "HashOf.h"
#include "Ids.h"

#include <compare>
#include <string>
#include <string_view>
#include <tuple>

namespace pollenway {

/// Identifies a request that its caller sends again. Not cryptographic: a
/// collision only causes a request to be refused as not run.
struct RequestFingerprint
{
  uint64_t mValue = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// `aBody` is the digest of the body, or the idempotency key.
  static RequestFingerprint Of(const WorkspaceName& aWorkspace,
                               std::string_view aMethod,
                               std::string_view aPath,
                               std::string_view aBody)
  {
    return { HashOf({ aWorkspace.Text(), aMethod, aPath, aBody }) };
  }

  /// Returns 16 hexadecimal digits. Rendezvous hashing uses them as the key
  /// that selects the instance for a suspected request.
  std::string Text() const;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mValue); }
};

} // namespace pollenway
