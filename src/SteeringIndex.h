#pragma once

#include "SteeringView.h"
#include "ZoneNumbering.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// Index of a `SteeringView` with everything that is the same for all look-ups:
/// the order of regions, the serving zones, the live instances and the hashes.
class SteeringIndex
{
public:
  struct Instance
  {
    uint64_t mHash = 0;
    const SteeringInstance* mInstance = nullptr;
    /// True if the reported load exceeds the bound, which is relative to the
    /// mean of the zone.
    bool mIsOverloaded = false;
  };

  struct Shift
  {
    const ShiftDeclaration* mShift = nullptr;
    uint64_t mHash = 0;
    size_t mFrom = 0;
    size_t mTo = 0;
  };

  struct ServiceEntry
  {
    const Service* mService = nullptr;
    uint64_t mHash = 0;
    /// By region: the zones with a live target, if the region has live
    /// instances.
    std::vector<std::vector<size_t>> mZones;
    /// By region of origin: the regions with serving zones, nearest first. A
    /// successor in `mSuccessor` comes before the others.
    std::vector<std::vector<size_t>> mOrder;
    /// By region of origin: the region of the successor of its retired or
    /// draining places, if none of its zones serves the service.
    std::vector<size_t> mSuccessor;
    std::vector<Shift> mShifts;
  };

  SteeringIndex() = default;
  explicit SteeringIndex(SteeringView aView);
  // Move-only, because it holds pointers into its own view.
  SteeringIndex(SteeringIndex&&) = default;
  SteeringIndex& operator=(SteeringIndex&&) = default;

  bool IsEmpty() const { return !mView.mInventory; }
  const ZoneNumbering& Numbering() const { return mNumbering; }
  /// Hashes of names, which don't depend on the order of the inventory.
  uint64_t HashOfRegion(size_t aRegion) const { return mRegionHashes[aRegion]; }
  uint64_t HashOfZone(size_t aZone) const { return mZoneHashes[aZone]; }
  const ServiceEntry* FindService(const ServiceName& aName) const;
  /// Returns the live instances of the zone.
  const std::vector<Instance>& InstancesOf(size_t aZone) const
  {
    return mInstances[aZone];
  }
  /// Returns the hash of the instance that owns the workspace's account in the
  /// zone, or 0 if there is none. The owner is chosen by `FirstByRendezvous`
  /// over the members of the zone, including leaving ones, and is cached.
  uint64_t AccountOwner(const WorkspaceName& aWorkspace, size_t aZone) const;

private:
  void AddService(const Service& aService);

  SteeringView mView;
  ZoneNumbering mNumbering;
  std::vector<uint64_t> mRegionHashes;
  std::vector<uint64_t> mZoneHashes;
  std::vector<std::vector<Instance>> mInstances;
  std::vector<std::vector<InstanceName>> mMembers;
  std::unordered_map<ServiceName, ServiceEntry> mServices;
  mutable std::unordered_map<WorkspaceName, std::vector<uint64_t>> mOwners;
};

} // namespace pollenway
