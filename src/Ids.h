#pragma once

#include "StrongId.h"

namespace pollenway {

using RegionName = StrongId<struct RegionNameTag>;
using ZoneName = StrongId<struct ZoneNameTag>;
using PlaceName = StrongId<struct PlaceNameTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using TargetName = StrongId<struct TargetNameTag>;
using WorkspaceName = StrongId<struct WorkspaceNameTag>;
using KeyId = StrongId<struct KeyIdTag>;
using ShiftName = StrongId<struct ShiftNameTag>;
using InstanceName = StrongId<struct InstanceNameTag>;

} // namespace pollenway
