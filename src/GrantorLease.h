#pragma once

#include "Ids.h"
#include "PeerMessage.h"
#include "Time.h"
#include "ZoneView.h"

#include <map>
#include <utility>

namespace pollenway {

/// Time without an answer after which a grantor confirms an eviction: the
/// lease time of 4 s and a margin of 2 s for the drift of clocks.
constexpr Duration kConfirmDelay = std::chrono::seconds(6);

/// The grantor's side of leases: answers the lease requests of the other
/// members and confirms evictions. One object belongs to one run of a process.
class GrantorLease
{
public:
  explicit GrantorLease(Duration aConfirmDelay = kConfirmDelay)
    : mConfirmDelay(aConfirmDelay)
  {
  }

  /// A view has come into force at this grantor. Starts the waiting time anew
  /// if a member is gone: a grantor that left the view may have answered just
  /// before, and nobody asks it for a confirmation any more. The first view
  /// counts as such, as the run before a restart may have answered.
  void AdoptView(const ZoneView& aView, TimePoint aNow);

  /// Grants a lease to a member of the view; false after confirming its
  /// eviction or if it is not a member.
  bool GrantLease(const InstanceName& aMember,
                  Incarnation aIncarnation,
                  TimePoint aNow);

  /// Confirms the eviction of a member of the view, which is final; false if
  /// this grantor answered it less than 6 s ago, or the last removal of a
  /// member is less than 6 s ago.
  bool ConfirmEviction(const InstanceName& aMember,
                       Incarnation aIncarnation,
                       TimePoint aNow);

  bool HasConfirmedEviction(const InstanceName& aMember,
                            Incarnation aIncarnation) const;

  /// Answers nobody from now on, because this member leaves the view.
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
