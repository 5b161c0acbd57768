#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "Time.h"
#include "ZoneView.h"

#include <map>
#include <utility>

namespace pollenway {

/// Time since its last grant to a member after which a grantor confirms the
/// member's eviction: the lease time of 4 s and a margin of 2 s for clock
/// drift.
constexpr Duration kConfirmDelay = std::chrono::seconds(6);

/// The grantor's side of leases: grants leases to the other members of the zone
/// and confirms evictions. One object belongs to one incarnation.
class GrantorLease
{
public:
  explicit GrantorLease(Duration aConfirmDelay = kConfirmDelay)
    : mConfirmDelay(aConfirmDelay)
  {
  }

  /// Replaces the view in force at this grantor. Restarts the confirmation
  /// delay if a member was removed: a grantor that left the view may have
  /// granted a lease just before, and no evictor asks it for a confirmation any
  /// more. The first view counts as a removal because the incarnation before a
  /// restart may have granted leases.
  void AdoptView(const ZoneView& aView, TimePoint aNow);

  /// Grants a lease to a member of the view. Returns false if it is not a
  /// member, after its eviction has been confirmed and after `Stop`.
  bool GrantLease(const InstanceName& aMember,
                  Incarnation aIncarnation,
                  TimePoint aNow);

  /// Confirms the eviction of a member of the view, which is final. Returns
  /// false if this grantor granted it a lease less than 6 s ago, or if the last
  /// removal of a member is less than 6 s ago.
  bool ConfirmEviction(const InstanceName& aMember,
                       Incarnation aIncarnation,
                       TimePoint aNow);

  bool HasConfirmedEviction(const InstanceName& aMember,
                            Incarnation aIncarnation) const;

  /// Refuses all further lease requests because this member leaves the view.
  void Stop() { mIsStopped = true; }

private:
  struct State
  {
    Incarnation mIncarnation = 0;
    bool mHasGranted = false;
    TimePoint mLastGrantAt;
    bool mIsEvictionConfirmed = false;
  };
  Duration mConfirmDelay;
  ZoneView mView;
  TimePoint mLastRemovalAt;
  std::map<InstanceName, State> mStates;
  bool mIsStopped = false;
};

} // namespace pollenway
