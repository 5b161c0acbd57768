#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "Time.h"

#include <map>

namespace pollenway {

/// A member may use what it owns for this long after it sent a request that a
/// grantor answered, by its own clock.
constexpr Duration kLeaseTime = std::chrono::seconds(4);

/// The member's side of leases: when was the last lease request sent that a
/// grantor answered?
class MemberLease
{
public:
  explicit MemberLease(Duration aLeaseTime = kLeaseTime)
    : mLeaseTime(aLeaseTime)
  {
  }

  /// A grantor granted the request that this member sent at `aSentAt`.
  void RecordGrant(const InstanceName& aGrantor,
                   Incarnation aIncarnation,
                   TimePoint aSentAt);

  /// Forgets the grants of a grantor whose eviction this member confirms. The
  /// other members may then evict this member without asking that grantor.
  void RemoveGrants(const InstanceName& aGrantor);

  /// Is there a grant for a request sent after `aNow` - 4 s?
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
