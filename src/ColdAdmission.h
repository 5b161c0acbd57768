#pragma once

#include "InstanceTable.h"
#include "TargetState.h"
#include "Time.h"

#include <unordered_map>

namespace pollenway {

/// Rations the requests to cold targets over all instances. A few instances
/// near the target, the same in the view of all, may send to it, each a part
/// of what it tolerates.
class ColdAdmission
{
public:
  ColdAdmission(InstanceName aSelf, ZoneName aZone, RegionName aRegion);

  /// Chooses who may send to the targets of each zone.
  void SetInstances(const InstanceTable& aInstances, TimePoint aNow);
  /// True if this instance may send one request to the cold target now, which
  /// it then must do. `aRate` is what the target tolerates from all instances
  /// together, in requests per second; 0 if there is no limit.
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
  };

  /// Number of instances that share the target's rate; 0 if this one is not
  /// among them.
  size_t SharerCount(const TargetState& aTarget) const;

  Member mSelf;
  std::vector<Member> mMembers;
  std::unordered_map<TargetName, Bucket> mBuckets;
};

} // namespace pollenway
