#include "FleetDirectory.h"

#include "RendezvousHash.h"

namespace pollenway {

void FleetDirectory::SetZone(const ZoneName& aZone,
                             uint64_t aViewNumber,
                             std::vector<InstanceInfo> aMembers)
{
  auto& zone = mZones[aZone];
  if (aViewNumber < zone.mViewNumber) {
    return;
  }
  for (auto& member : aMembers) {
    for (const auto& known : zone.mMembers) {
      const bool same = known.mName == member.mName &&
                        known.mIncarnation == member.mIncarnation;
      member.mLeaving = member.mLeaving || (same && known.mLeaving);
    }
  }
  zone.mViewNumber = aViewNumber;
  zone.mMembers = std::move(aMembers);
  zone.mNames.clear();
  for (const auto& it : zone.mMembers) {
    zone.mNames.push_back(it.mName);
  }
}

void FleetDirectory::SetLeaving(const InstanceName& aName,
                                uint64_t aIncarnation)
{
  for (auto& [name, zone] : mZones) {
    for (auto& it : zone.mMembers) {
      if (it.mName == aName && it.mIncarnation == aIncarnation) {
        it.mLeaving = true;
      }
    }
  }
}

const InstanceInfo* FleetDirectory::Find(const InstanceName& aName) const
{
  for (const auto& [name, zone] : mZones) {
    for (const auto& it : zone.mMembers) {
      if (it.mName == aName) {
        return &it;
      }
    }
  }
  return nullptr;
}

const std::vector<InstanceInfo>& FleetDirectory::Members(
  const ZoneName& aZone) const
{
  static const std::vector<InstanceInfo> kNone;
  const auto it = mZones.find(aZone);
  return it == mZones.end() ? kNone : it->second.mMembers;
}

uint64_t FleetDirectory::ViewNumber(const ZoneName& aZone) const
{
  const auto it = mZones.find(aZone);
  return it == mZones.end() ? 0 : it->second.mViewNumber;
}

std::vector<ZoneName> FleetDirectory::Zones() const
{
  std::vector<ZoneName> names;
  for (const auto& [name, zone] : mZones) {
    names.push_back(name);
  }
  return names;
}

std::vector<InstanceInfo> FleetDirectory::All() const
{
  std::vector<InstanceInfo> all;
  for (const auto& [name, zone] : mZones) {
    all.insert(all.end(), zone.mMembers.begin(), zone.mMembers.end());
  }
  return all;
}

const InstanceInfo* FleetDirectory::OwnerOf(const ZoneName& aZone,
                                            std::string_view aResource) const
{
  const auto zone = mZones.find(aZone);
  if (zone == mZones.end()) {
    return nullptr;
  }
  const auto* owner = FirstByRendezvous(aResource, zone->second.mNames);
  return owner ? Find(*owner) : nullptr;
}

} // namespace pollenway
