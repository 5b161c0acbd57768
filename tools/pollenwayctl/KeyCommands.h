#pragma once

#include "AdminClient.h"
#include "InventoryCommands.h"

namespace pollenway {

/// A key of 256 random bits from the system's cryptographic source, as "pwk_"
/// and 64 hexadecimal digits.
std::string GenerateKey();

/// `key issue WORKSPACE`. Only the digest is stored; the key is in the result
/// and nowhere else, and only if the store confirmed its record.
Awaitable<CommandResult> IssueKey(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aWorkspace,
                                  std::string aKey);

/// `key withdraw ID`. Gives the withdrawal to the instances first, because
/// they spread it without the store, and then marks the key's record.
Awaitable<CommandResult> WithdrawKey(ObjectStore& aStore,
                                     AdminClient& aAdmin,
                                     CommandOptions aOptions,
                                     std::string aId);

} // namespace pollenway
