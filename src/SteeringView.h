#pragma once

#include "Inventory.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenway {

enum class InstanceState
{
  Live,
  Leaving, ///< Serves connected callers; not included in new answers.
};

/// Entry instance as known from membership.
struct SteeringInstance
{
  InstanceName mName;
  ZoneName mZone;
  /// IP address in text form and port, for callers.
  std::string mAddress;
  uint16_t mPort = 0;
  InstanceState mState = InstanceState::Live;
  /// Requests/s reported in its last heartbeat. May be outdated or wrong.
  double mLoad = 0;
};

/// Snapshot of the inventory and the instances on which look-ups are decided.
struct SteeringView
{
  std::shared_ptr<const Inventory> mInventory;
  std::vector<SteeringInstance> mInstances;
};

} // namespace pollenway
