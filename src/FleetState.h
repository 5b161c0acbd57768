#pragma once

#include "EntrySettings.h"
#include "FleetDirectory.h"
#include "InstanceInfo.h"
#include "Inventory.h"
#include "Random.h"

#include <memory>

namespace pollenway {

/// State that the services of one entry instance share. Not thread-safe: all of
/// them run on one thread.
struct FleetState
{
  EntrySettings mSettings;
  InstanceInfo mSelf;
  Random mRandom{ 1 };
  /// Null until a configuration is known. Replaced as a whole; requests in
  /// progress keep the inventory that they started with.
  std::shared_ptr<const Inventory> mInventory{};
  FleetDirectory mDirectory{};
  /// True once a graceful shutdown has started.
  bool mLeaving = false;
};

} // namespace pollenway
