#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "Time.h"

#include <map>

namespace pollenway {

/// Time for which a member may use what it owns after it sent a lease request
/// that a grantor granted, measured by its own clock.
constexpr Duration kLeaseTime = std::chrono::seconds(4);

/// The member's side of leases: records for each grantor when the last request
/// that it granted was sent.
class MemberLease
{
public:
  explicit MemberLease(Duration aLeaseTime = kLeaseTime)
    : mLeaseTime(aLeaseTime)
  {
  }

  /// Records that a grantor granted the request sent at `aSentAt`.
  void RecordGrant(const InstanceName& aGrantor,
                   Incarnation aIncarnation,
                   TimePoint aSentAt);

  /// Removes the grants of a grantor whose eviction this member confirms. The
  /// other members may then evict this member without asking that grantor.
  void RemoveGrants(const InstanceName& aGrantor);

  /// Returns true if a request sent after `aNow` - 4 s was granted.
  bool IsValid(TimePoint aNow) const;

private:
  struct Grant
  {
    Incarnation mIncarnation = 0;
    TimePoint mSentAt;
  };
  Duration mLeaseTime;
  std::map<InstanceName, Grant> mGrants;
};

} // namespace pollenway
