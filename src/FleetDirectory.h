#pragma once

#include "InstanceInfo.h"

#include <map>
#include <string_view>
#include <vector>

namespace pollenway {

/// The members of each zone by its newest known view, and the owners that
/// follow from them.
class FleetDirectory
{
public:
  /// Replaces a zone's members. A lower view number is ignored.
  void SetZone(const ZoneName& aZone,
               uint64_t aViewNumber,
               std::vector<InstanceInfo> aMembers);

  /// Marks an instance as leaving before its zone's view shows it.
  void SetLeaving(const InstanceName& aName, uint64_t aIncarnation);

  const InstanceInfo* Find(const InstanceName& aName) const;
  /// Empty if the zone is unknown.
  const std::vector<InstanceInfo>& Members(const ZoneName& aZone) const;
  uint64_t ViewNumber(const ZoneName& aZone) const;
  std::vector<ZoneName> Zones() const;
  std::vector<InstanceInfo> All() const;

  /// The member of the zone that owns the resource of that name by rendezvous
  /// hashing; null if the zone has no members.
  const InstanceInfo* OwnerOf(const ZoneName& aZone,
                              std::string_view aResource) const;

private:
  struct Zone
  {
    uint64_t mViewNumber = 0;
    std::vector<InstanceInfo> mMembers;
    std::vector<InstanceName> mNames;
  };

  std::map<ZoneName, Zone> mZones;
};

} // namespace pollenway
