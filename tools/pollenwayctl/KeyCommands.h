#pragma once

#include "AdminClient.h"
#include "InventoryCommands.h"

namespace pollenway {

/// Returns a key of 256 bits from the system's cryptographic random number
/// generator, as "pwk_" and 64 hexadecimal digits.
std::string GenerateKey();

/// `key issue WORKSPACE`. Only the key's digest is stored. The key itself is
/// only in the result, and only if the store has confirmed the key's record.
Awaitable<CommandResult> IssueKey(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aWorkspace,
                                  std::string aKey);

/// `key withdraw ID`. Sends the withdrawal to the instances first, because they
/// propagate it without the store, and then marks the key's record as
/// withdrawn.
Awaitable<CommandResult> WithdrawKey(ObjectStore& aStore,
                                     AdminClient& aAdmin,
                                     CommandOptions aOptions,
                                     std::string aId);

} // namespace pollenway
