#pragma once

#include "InstanceTable.h"
#include "RemoteZones.h"
#include "TargetState.h"
#include "Time.h"

#include <unordered_map>

namespace pollenway {

/// Limits the rate of requests to cold targets across all instances. Only a few
/// instances near a target may send to it, each a share of the rate that it
/// tolerates: instances of its zone, or delegates of the other zones of its
/// region, or of any zone, if there is none. All instances compute the same set
/// from their views of the membership.
class ColdAdmission
{
public:
  ColdAdmission(InstanceName aSelf, ZoneName aZone, RegionName aRegion);

  /// Sets the instances among which the senders for each target are chosen.
  /// `aDelegates` are those of the own zone.
  void SetInstances(const InstanceTable& aInstances,
                    const std::vector<ZoneDelegate>& aDelegates,
                    const RemoteZones& aRemoteZones,
                    TimePoint aNow);
  /// Returns true if this instance may send one request to the cold target now;
  /// the caller must then send it. `aRate` is the rate that the target
  /// tolerates from all instances together, in requests per second; 0 if there
  /// is no limit.
  bool TryAdmit(const TargetState& aTarget, double aRate, TimePoint aNow);
  void Remove(const TargetName& aTarget) { mBuckets.erase(aTarget); }

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mRefilledAt{};
  };
  struct Member
  {
    InstanceName mName;
    ZoneName mZone;
    RegionName mRegion;
    /// False for an instance of which only its own zone knows.
    bool mIsDelegate = false;
  };

  /// Returns the number of instances that share the target's rate, or 0 if this
  /// instance is not one of them.
  size_t SharerCount(const TargetState& aTarget) const;

  Member mSelf;
  std::vector<Member> mMembers;
  std::unordered_map<TargetName, Bucket> mBuckets;
};

} // namespace pollenway
