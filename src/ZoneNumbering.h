#pragma once

#include "Inventory.h"

#include <cstddef>
#include <vector>

namespace pollenway {

/// Numbers the regions and zones of an inventory, in its order, so that
/// look-ups index arrays instead of comparing names.
class ZoneNumbering
{
public:
  static constexpr size_t kNone = ~size_t(0);

  ZoneNumbering() = default;
  explicit ZoneNumbering(const Inventory& aInventory);

  /// Returns the number of regions.
  size_t Regions() const { return mRegionNames.size(); }
  /// Returns the number of zones.
  size_t Zones() const { return mZoneNames.size(); }
  const RegionName& NameOfRegion(size_t aRegion) const
  {
    return mRegionNames[aRegion];
  }
  const ZoneName& NameOfZone(size_t aZone) const { return mZoneNames[aZone]; }
  size_t RegionOfZone(size_t aZone) const { return mRegionOfZone[aZone]; }
  const std::vector<size_t>& ZonesOf(size_t aRegion) const
  {
    return mZonesOf[aRegion];
  }
  /// Returns `kNone` if there is no such region.
  size_t FindRegion(const RegionName& aName) const;
  /// Returns `kNone` if there is no such zone.
  size_t FindZone(const ZoneName& aName) const;

private:
  std::vector<RegionName> mRegionNames;
  std::vector<ZoneName> mZoneNames;
  std::vector<size_t> mRegionOfZone;
  std::vector<std::vector<size_t>> mZonesOf;
};

} // namespace pollenway
