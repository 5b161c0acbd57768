#pragma once

#include "AdminClient.h"
#include "InventoryCommands.h"

namespace pollenway {

/// `status`: shows the generation, zone views, instances, shifts and withdrawn
/// keys.
Awaitable<CommandResult> ShowStatus(ObjectStore& aStore,
                                    CommandOptions aOptions);

/// `dump ADDRESS:PORT`: shows the instance's state.
Awaitable<CommandResult> DumpInstance(AdminClient& aAdmin,
                                      std::string aInstance);
/// `explain ADDRESS:PORT REQUEST_ID`: shows the decisions about a request.
Awaitable<CommandResult> ExplainRequest(AdminClient& aAdmin,
                                        std::string aInstance,
                                        std::string aRequest);

/// `instance release NAME`: records in the store object `release/<instance>`
/// that the incarnation in the zone's view has ended.
Awaitable<CommandResult> ReleaseInstance(ObjectStore& aStore,
                                         CommandOptions aOptions,
                                         std::string aName);

/// `home move FROM TO`: moves the home partitions of a lost zone to another
/// zone.
Awaitable<CommandResult> MoveHome(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aFrom,
                                  std::string aTo);

/// `zone remove ZONE`: shows the remaining steps to remove a zone; changes
/// nothing.
Awaitable<CommandResult> DescribeZoneRemoval(ObjectStore& aStore,
                                             CommandOptions aOptions,
                                             std::string aZone);

} // namespace pollenway
