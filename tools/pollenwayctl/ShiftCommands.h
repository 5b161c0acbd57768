#pragma once

#include "InventoryCommands.h"

namespace pollenway {

/// `shift start|pause|resume|advance|rollback|status NAME`. `aNowUnixMs` is the
/// wall clock time that the pace between steps is checked against.
Awaitable<CommandResult> RunShiftCommand(ObjectStore& aStore,
                                         CommandOptions aOptions,
                                         Arguments aArguments,
                                         int64_t aNowUnixMs);

} // namespace pollenway
