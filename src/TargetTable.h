#pragma once

#include "Ids.h"
#include "TargetState.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// The targets that may get requests, by service. Targets that leave are taken
/// out at once, except that a record which lapsed during an outage of the
/// store is kept for a while, since the store could not be told otherwise.
class TargetTable
{
public:
  using Targets = std::vector<std::shared_ptr<TargetState>>;

  explicit TargetTable(const std::map<ZoneName, RegionName>& aRegionOf);

  /// Adds or changes a target; a draining one is taken out. `aColdStart` is
  /// the service's time of being cold.
  void Put(RegisteredTarget aRecord, TimePoint aNow, Duration aColdStart);
  /// Takes a target out, or keeps it until `aKeepUntil` if that is later.
  void Remove(const TargetName& aName, TimePoint aNow, TimePoint aKeepUntil);
  /// Replaces all records: those that are missing are removed as above.
  void RetainOnly(const std::set<TargetName>& aNames,
                  TimePoint aNow,
                  TimePoint aKeepUntil);
  /// Takes out the targets whose time of being kept has ended.
  void Expire(TimePoint aNow);

  const Targets& OfService(const ServiceName& aService) const;
  /// The services that have or had targets.
  std::vector<ServiceName> Services() const;
  size_t Size() const { return mByName.size(); }
  bool Contains(const TargetName& aName) const
  {
    return mByName.contains(aName);
  }

  void SetEvacuatedZones(std::set<ZoneName> aZones)
  {
    mEvacuated = std::move(aZones);
  }
  bool IsEvacuated(const ZoneName& aZone) const
  {
    return mEvacuated.contains(aZone);
  }
  const std::set<ZoneName>& EvacuatedZones() const { return mEvacuated; }

  /// Called with each target that is taken out.
  void OnRemoved(std::function<void(const RegisteredTarget&)> aCallback)
  {
    mOnRemoved = std::move(aCallback);
  }

private:
  void Erase(const TargetName& aName);

  std::map<ZoneName, RegionName> mRegionOf;
  std::unordered_map<TargetName, std::shared_ptr<TargetState>> mByName;
  std::unordered_map<ServiceName, Targets> mByService;
  std::map<TargetName, TimePoint> mKeptUntil;
  std::set<ZoneName> mEvacuated;
  std::function<void(const RegisteredTarget&)> mOnRemoved;
};

} // namespace pollenway
