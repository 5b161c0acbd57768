#pragma once

#include "AdminClient.h"
#include "InventoryCommands.h"

namespace pollenway {

/// `status`: generation, zone views, instances, shifts and withdrawn keys.
Awaitable<CommandResult> ShowStatus(ObjectStore& aStore,
                                    CommandOptions aOptions);

/// `dump ADDRESS:PORT` and `explain ADDRESS:PORT REQUEST_ID`.
Awaitable<CommandResult> DumpInstance(AdminClient& aAdmin,
                                      std::string aInstance);
Awaitable<CommandResult> ExplainRequest(AdminClient& aAdmin,
                                        std::string aInstance,
                                        std::string aRequest);

/// `instance release NAME`: tells the zone that this run of the instance has
/// ended, in the store object `release/<instance>`.
Awaitable<CommandResult> ReleaseInstance(ObjectStore& aStore,
                                         CommandOptions aOptions,
                                         std::string aName);

/// `home move FROM TO`: gives a lost zone's idempotency keys another home.
Awaitable<CommandResult> MoveHome(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aFrom,
                                  std::string aTo);

/// `zone remove ZONE`: what is left to do; changes nothing.
Awaitable<CommandResult> DescribeZoneRemoval(ObjectStore& aStore,
                                             CommandOptions aOptions,
                                             std::string aZone);

} // namespace pollenway
