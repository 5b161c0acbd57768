#pragma once

#include "Ids.h"
#include "NewestTargetRecords.h"
#include "TargetState.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// The targets that may receive requests, by service. Targets that leave are
/// removed at once, except that a record that expired during an outage of the
/// store is kept for a time, since the target could not renew it. An outdated
/// record neither changes a target nor brings back one that has left (see
/// `NewestTargetRecords`).
class TargetTable
{
public:
  using Targets = std::vector<std::shared_ptr<TargetState>>;

  explicit TargetTable(const std::map<ZoneName, RegionName>& aRegionOf);

  /// Adds or updates a target; a draining one is removed, and an outdated
  /// record is ignored. `aColdStart` is the time for which the service's
  /// targets are cold after their start.
  void Put(RegisteredTarget aRecord, TimePoint aNow, Duration aColdStart);
  /// Removes a target at `aKeepUntil`, or at once if that is not after `aNow`.
  void Remove(const TargetName& aName, TimePoint aNow, TimePoint aKeepUntil);
  /// Removes all targets that are not in `aNames`, as `Remove` does.
  void RetainOnly(const std::set<TargetName>& aNames,
                  TimePoint aNow,
                  TimePoint aKeepUntil);
  /// Removes the targets whose `aKeepUntil` has passed. Returns the targets
  /// whose outdated record counts from now on, since the store still holds it.
  std::vector<TargetName> Expire(TimePoint aNow);

  /// Returns null for an unknown target.
  std::shared_ptr<TargetState> Find(const TargetName& aName) const;
  const Targets& OfService(const ServiceName& aService) const;
  /// Returns the services that have or had targets.
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

  /// Sets the callback that is called with each removed target.
  void OnRemoved(std::function<void(const RegisteredTarget&)> aCallback)
  {
    mOnRemoved = std::move(aCallback);
  }

  /// Sets the callback that is called with an outdated record that would bring
  /// back a target or an earlier incarnation, once while the store holds it.
  void OnOutdated(
    std::function<void(const RegisteredTarget&,
                       const NewestTargetRecords::Newest&)> aCallback)
  {
    mOnOutdated = std::move(aCallback);
  }

private:
  /// Returns true if `aRecord` is the newest one of its target.
  bool AcceptRecord(const RegisteredTarget& aRecord, TimePoint aNow);
  void Erase(const TargetName& aName);

  std::map<ZoneName, RegionName> mRegionOf;
  std::unordered_map<TargetName, std::shared_ptr<TargetState>> mByName;
  std::unordered_map<ServiceName, Targets> mByService;
  std::map<TargetName, TimePoint> mKeptUntil;
  NewestTargetRecords mNewestRecords;
  std::set<ZoneName> mEvacuated;
  std::function<void(const RegisteredTarget&)> mOnRemoved;
  std::function<void(const RegisteredTarget&,
                     const NewestTargetRecords::Newest&)>
    mOnOutdated;
};

} // namespace pollenway
