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
  Leaving, ///< Serves open callers and is named in no new answer.
};

/// An entry instance as membership knows it.
struct SteeringInstance
{
  InstanceName mName;
  ZoneName mZone;
  /// IP address in text form and port, for callers.
  std::string mAddress;
  uint16_t mPort = 0;
  InstanceState mState = InstanceState::Live;
  /// Requests/s by its last heartbeat. May lag or mislead.
  double mLoad = 0;
};

/// Snapshot that look-ups are decided on.
struct SteeringView
{
  std::shared_ptr<const Inventory> mInventory;
  std::vector<SteeringInstance> mInstances;
};

} // namespace pollenway
