#pragma once

#include "CommandOptions.h"
#include "ConfigurationStore.h"

namespace pollenway {

using Arguments = std::vector<std::string>;

/// Reads an inventory file. Errors have paths such as "file.json: /targets/3".
Validated<Inventory> ReadInventoryFile(const std::string& aPath);

/// `validate FILE...`: shows all errors of all files.
CommandResult ValidateFiles(const Arguments& aPaths);

/// `diff FILE`: shows the changes that `apply` would make.
Awaitable<CommandResult> DiffFile(ConfigurationStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aPath);
/// `apply FILE`: merges the file with the current configuration and writes it.
Awaitable<CommandResult> ApplyFile(ConfigurationStore& aStore,
                                   CommandOptions aOptions,
                                   std::string aPath);

/// `drain|restore target|place NAME`: sets the state of a target or place.
Awaitable<CommandResult> SetState(ConfigurationStore& aStore,
                                  Lifecycle aState,
                                  Arguments aArguments);
/// `retire place NAME --successor PLACE`.
Awaitable<CommandResult> RetirePlace(ConfigurationStore& aStore,
                                     CommandOptions aOptions,
                                     Arguments aArguments);

} // namespace pollenway
