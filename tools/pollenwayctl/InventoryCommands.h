#pragma once

#include "CommandOptions.h"
#include "ConfigurationStore.h"

namespace pollenway {

using Arguments = std::vector<std::string>;

/// Reads an inventory file; errors have paths such as "file.json: /targets/3".
Validated<Inventory> ReadInventoryFile(const std::string& aPath);

/// `validate FILE...`: all errors of all files.
CommandResult ValidateFiles(const Arguments& aPaths);

/// `diff FILE`, `apply FILE`: the file merged with the configuration in force.
Awaitable<CommandResult> DiffFile(ConfigurationStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aPath);
Awaitable<CommandResult> ApplyFile(ConfigurationStore& aStore,
                                   CommandOptions aOptions,
                                   std::string aPath);

/// `drain|restore target|place NAME`, `retire place NAME`.
Awaitable<CommandResult> SetState(ConfigurationStore& aStore,
                                  Lifecycle aState,
                                  Arguments aArguments);
Awaitable<CommandResult> RetirePlace(ConfigurationStore& aStore,
                                     CommandOptions aOptions,
                                     Arguments aArguments);

} // namespace pollenway
