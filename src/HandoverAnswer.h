#pragma once

#include "AccountState.h"

#include <cstdint>
#include <optional>

namespace pollenway {

/// A zone member's answer to a new account owner of the given view: the
/// account if it held it, else that it holds nothing and will not start in an
/// earlier view. The body of the peer message `AccountHandoverReply`.
struct HandoverAnswer
{
  uint64_t mView = 0;
  std::optional<AccountState> mState{};
};

} // namespace pollenway
