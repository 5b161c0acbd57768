#pragma once

#include "SteeringView.h"
#include "ZoneNumbering.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// What look-ups need of a `SteeringView` and what does not change from look-up
/// to look-up: order of regions, serving zones, live instances and hashes.
class SteeringIndex
{
public:
  struct Instance
  {
    uint64_t mHash = 0;
    const SteeringInstance* mInstance = nullptr;
    /// Reported to be loaded above the bound relative to its zone's mean.
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
    /// By region: zones with a live target and live instances in the region.
    std::vector<std::vector<size_t>> mZones;
    /// By region of origin: the regions with such zones, nearest first.
    std::vector<std::vector<size_t>> mOrder;
    /// By region of origin: the region of the successor of its retired or
    /// draining places, if it serves the service only through one.
    std::vector<size_t> mSuccessor;
    std::vector<Shift> mShifts;
  };

  SteeringIndex() = default;
  explicit SteeringIndex(SteeringView aView);
  // Holds pointers into its own view.
  SteeringIndex(SteeringIndex&&) = default;
  SteeringIndex& operator=(SteeringIndex&&) = default;

  bool IsEmpty() const { return !mView.mInventory; }
  const ZoneNumbering& Numbering() const { return mNumbering; }
  /// Hashes of names, so that the inventory's order has no influence.
  uint64_t HashOfRegion(size_t aRegion) const { return mRegionHashes[aRegion]; }
  uint64_t HashOfZone(size_t aZone) const { return mZoneHashes[aZone]; }
  const ServiceEntry* FindService(const ServiceName& aName) const;
  /// Live instances of a zone.
  const std::vector<Instance>& InstancesOf(size_t aZone) const
  {
    return mInstances[aZone];
  }
  /// Hash of the instance that owns the workspace's account in the zone; 0 if
  /// there is none. Owners are those of `FirstByRendezvous` over the zone's
  /// members, leaving ones included; kept after the first use.
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
