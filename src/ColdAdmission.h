#pragma once

#include "InstanceTable.h"
#include "TargetState.h"
#include "Time.h"

#include <unordered_map>

namespace pollenway {

/// Limits the rate of requests to cold targets across all instances. Only a few
/// instances near a target may send to it, each a share of the rate that it
/// tolerates. All instances compute the same set from their view of the
/// membership.
class ColdAdmission
{
public:
  ColdAdmission(InstanceName aSelf, ZoneName aZone, RegionName aRegion);

  /// Sets the instances among which the senders for each target are chosen.
  void SetInstances(const InstanceTable& aInstances, TimePoint aNow);
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
  };

  /// Returns the number of instances that share the target's rate, or 0 if this
  /// instance is not one of them.
  size_t SharerCount(const TargetState& aTarget) const;

  Member mSelf;
  std::vector<Member> mMembers;
  std::unordered_map<TargetName, Bucket> mBuckets;
};

} // namespace pollenway
