#pragma once

#include "HashOf.h"
#include "Ids.h"

#include <compare>
#include <string>
#include <string_view>
#include <tuple>

namespace pollenway {

/// Recognises a request that its caller sends again. Not cryptographic: a
/// collision only costs a refusal as not run.
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

  /// 16 hexadecimal digits; the key with which rendezvous hashing selects the
  /// instance that runs a suspect.
  std::string Text() const;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mValue); }
};

} // namespace pollenway
