#pragma once

#include "SlotHandover.h"
#include "SlotLimits.h"
#include "SlotTicket.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// Availability of a target for a new request.
enum class SlotState
{
  Free,
  Full,             ///< All slots are used by this or a former owner.
  Draining,         ///< Declared or reported as draining, or retired.
  AwaitingHandover, ///< The slots used by the former owner are not yet known.
  NotOwned,         ///< This instance is not the target's slot owner.
};

/// Counts slots and connections of the targets whose slot owner is this
/// instance. Only its owner dispatches requests to a target, so these counts
/// hold for the whole fleet. An owner has at most as many connections to a
/// target as the target has slots (each request uses one; idle ones are
/// reused). This bounds the number of connections that an evicted owner may
/// have left open.
class SlotTable
{
public:
  /// Starts ownership of a target, or updates its limits and declared state.
  /// Lower limits take effect as requests end. After ownership has started, the
  /// target gets no requests until `TakeOver`, `TakeOverFromEvicted` or
  /// `TakeOverUnowned` is called.
  void SetTarget(const TargetName& aTarget, const SlotLimits& aLimits);

  /// Ends ownership of a target and returns the use that its next owner must
  /// count. `aSelf` is this instance. Tickets in flight stay valid for
  /// `Release`.
  SlotHandover ReleaseOwnership(const TargetName& aTarget,
                                const InstanceName& aSelf,
                                TimePoint aNow);

  /// Called if the target had no owner before, for example because it is newly
  /// declared.
  void TakeOverUnowned(const TargetName& aTarget);

  /// Counts the use of former owners, as returned by `ReleaseOwnership`. A
  /// repeated handover adds nothing. `aSelf` is this instance; its requests
  /// from an earlier ownership are counted by their tickets.
  void TakeOver(const SlotHandover& aHandover,
                const InstanceName& aSelf,
                TimePoint aNow);

  /// Counts all slots as occupied after the former owner was evicted, until
  /// load reports show them free or the service's timeout has passed.
  void TakeOverFromEvicted(const TargetName& aTarget, TimePoint aNow);

  /// Called when a former owner reports its remaining use. Only lowers the
  /// counts, so late or repeated reports are harmless.
  void OnFormerOwnerReport(const TargetName& aTarget,
                           const InstanceName& aOwner,
                           unsigned aSlots,
                           unsigned aConnections);

  /// Called when a former owner has died and will send no more reports. Its use
  /// is treated as after an eviction.
  void OnFormerOwnerDied(const InstanceName& aOwner, TimePoint aNow);

  /// Called with the target's own report of its requests in progress. An
  /// evicted owner's slots count as free only after two successive reports,
  /// both in answer to probes sent after the takeover, because reports lag.
  void OnLoadReport(const TargetName& aTarget,
                    unsigned aLoad,
                    TimePoint aProbeSentAt,
                    TimePoint aNow);

  /// Called with the target's own report that it is draining, or no longer is.
  void SetReportedDraining(const TargetName& aTarget, bool aDraining);

  SlotState State(const TargetName& aTarget, TimePoint aNow);

  /// Acquires a slot. Returns nothing unless `State` is `Free`.
  std::optional<SlotTicket> Acquire(const TargetName& aTarget, TimePoint aNow);

  /// Releases a slot. Returns false if the ticket was released before. After
  /// `ReleaseOwnership` the ticket still counts until it is released; see
  /// `InFlight`.
  bool Release(const SlotTicket& aTicket);

  /// Counts a new connection. Returns false if the limit is reached.
  bool OpenConnection(const TargetName& aTarget, TimePoint aNow);
  void CloseConnection(const TargetName& aTarget);

  /// Returns the number of requests of this instance in flight, whether it is
  /// still the owner or not. A former owner reports this number and
  /// `Connections`.
  unsigned InFlight(const TargetName& aTarget) const;
  unsigned Connections(const TargetName& aTarget) const;

  /// Returns the number of slots used by this and former owners.
  unsigned OccupiedSlots(const TargetName& aTarget, TimePoint aNow);

  /// Returns the next time at which slots of former owners count as free
  /// without a report.
  std::optional<TimePoint> NextExpiry() const;

private:
  struct Use
  {
    InstanceName mOwner;
    unsigned mSlots = 0;
    unsigned mConnections = 0;
    std::optional<TimePoint> mExpiresAt{};
    TimePoint mStartedAt{};
    /// Load in the previous report that may be the former owner's; not set
    /// before the first report.
    std::optional<unsigned> mLastFormerLoad{};
  };
  struct Entry
  {
    bool mIsOwned = false;
    bool mIsAwaitingHandover = false;
    SlotLimits mLimits;
    bool mReportedDraining = false;
    std::set<uint64_t> mTickets;
    unsigned mOpenConnections = 0;
    /// Minimum number of own requests in flight since the last load report.
    unsigned mMinInFlight = 0;
    std::vector<Use> mUses;
  };

  Entry* Find(const TargetName& aTarget);
  const Entry* Find(const TargetName& aTarget) const;
  void RemoveExpired(Entry& aEntry, TimePoint aNow);
  void RemoveIfUnused(const TargetName& aTarget);
  static unsigned FormerSlots(const Entry& aEntry);
  static unsigned FormerConnections(const Entry& aEntry);

  std::unordered_map<TargetName, Entry> mTargets;
  uint64_t mNextTicket = 1;
};

} // namespace pollenway
