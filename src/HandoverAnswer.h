#pragma once

#include "AccountState.h"

#include <cstdint>
#include <optional>

#include <tuple>

namespace pollenway {

/// A zone member's answer to a new account owner of the given view: the
/// account if it held it, else that it holds nothing and will not start in an
/// earlier view. The body of the peer message `AccountHandoverReply`.
struct HandoverAnswer
{
  uint64_t mView = 0;
  std::optional<AccountState> mState{};

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mView, aSelf.mState);
  }
};

} // namespace pollenway
