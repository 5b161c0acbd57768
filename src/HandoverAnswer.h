#pragma once

#include "AccountState.h"

#include <cstdint>
#include <optional>

#include <tuple>

namespace pollenway {

/// A zone member's answer to the new account owner of view `mView`. Contains
/// the account's state if the member held the account. Without a state, the
/// member holds nothing and will not start to own the account in an earlier
/// view. Body of the peer message `AccountHandoverReply`.
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
