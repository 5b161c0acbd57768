#include "ZoneNumbering.h"

#include <algorithm>

namespace pollenway {

namespace {

template<typename Name>
size_t IndexOf(const std::vector<Name>& aNames, const Name& aName)
{
  const auto it = std::find(aNames.begin(), aNames.end(), aName);
  return it == aNames.end() ? ZoneNumbering::kNone
                            : size_t(it - aNames.begin());
}

} // namespace

ZoneNumbering::ZoneNumbering(const Inventory& aInventory)
{
  for (const auto& region : aInventory.mRegions) {
    mZonesOf.emplace_back();
    for (const auto& zone : region.mZones) {
      mZonesOf.back().push_back(mZoneNames.size());
      mZoneNames.push_back(zone);
      mRegionOfZone.push_back(mRegionNames.size());
    }
    mRegionNames.push_back(region.mName);
  }
}

size_t ZoneNumbering::FindRegion(const RegionName& aName) const
{
  return IndexOf(mRegionNames, aName);
}

size_t ZoneNumbering::FindZone(const ZoneName& aName) const
{
  return IndexOf(mZoneNames, aName);
}

} // namespace pollenway
