#pragma once

#include "EntrySettings.h"
#include "FleetDirectory.h"
#include "InstanceInfo.h"
#include "Inventory.h"
#include "Random.h"

#include <memory>

namespace pollenway {

/// What the services of one entry instance share. One thread only.
struct FleetState
{
  EntrySettings mSettings;
  InstanceInfo mSelf;
  Random mRandom{ 1 };
  /// Null until a configuration is known. Replaced as a whole; requests under
  /// way keep the one they started with.
  std::shared_ptr<const Inventory> mInventory{};
  FleetDirectory mDirectory{};
  /// Set by a graceful shutdown.
  bool mLeaving = false;
};

} // namespace pollenway
