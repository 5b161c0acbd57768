#pragma once

#include "InstanceInfo.h"

#include <map>
#include <string_view>
#include <vector>

namespace pollenway {

/// Holds the members of each zone according to the newest known view, and
/// computes the owners of resources from them.
class FleetDirectory
{
public:
  /// Replaces the members of a zone. Ignores a lower view number. Members whose
  /// incarnation is unchanged keep their mark as leaving.
  void SetZone(const ZoneName& aZone,
               uint64_t aViewNumber,
               std::vector<InstanceInfo> aMembers);

  /// Marks an instance as leaving before its zone's view shows it.
  void SetLeaving(const InstanceName& aName, uint64_t aIncarnation);

  /// Returns null if no known view lists the instance.
  const InstanceInfo* Find(const InstanceName& aName) const;
  /// Returns an empty list if the zone is unknown.
  const std::vector<InstanceInfo>& Members(const ZoneName& aZone) const;
  /// Returns 0 if the zone is unknown.
  uint64_t ViewNumber(const ZoneName& aZone) const;
  std::vector<ZoneName> Zones() const;
  std::vector<InstanceInfo> All() const;

  /// Returns the member of the zone that owns the named resource by rendezvous
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
