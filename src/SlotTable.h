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

/// Whether a target can be given a request.
enum class SlotState
{
  Free,
  Full,             ///< All slots are in use or occupied by a former owner.
  Draining,         ///< Declared or reported as leaving, or retired.
  AwaitingHandover, ///< What the former owner still holds is not yet known.
  NotOwned,         ///< This instance is not the target's slot owner.
};

/// Slots and connections of the targets that this instance is slot owner of.
/// All dispatch to a target goes through its owner, so the counts here are the
/// counts of the whole fleet. An owner holds no more connections to a target
/// than the target has slots (each request uses one; idle ones are reused),
/// which bounds what an evicted owner may have left open.
class SlotTable
{
public:
  /// Starts owning a target, or changes its limits and declared state. Lower
  /// limits take effect as requests end. A target owned anew awaits one of
  /// `TakeOver`, `TakeOverFromEvicted` and `TakeOverUnowned`.
  void SetTarget(const TargetName& aTarget, const SlotLimits& aLimits);

  /// Stops owning a target and returns what its next owner must count.
  /// `aSelf` is this instance. Tickets in flight stay valid for `Release`.
  SlotHandover ReleaseOwnership(const TargetName& aTarget,
                                const InstanceName& aSelf,
                                TimePoint aNow);

  /// Nobody owned the target before, for instance a newly declared one.
  void TakeOverUnowned(const TargetName& aTarget);

  /// Counts what former owners hold, as given by `ReleaseOwnership`. A repeated
  /// handover adds nothing. `aSelf` is this instance, whose own requests of an
  /// earlier ownership are counted by their tickets.
  void TakeOver(const SlotHandover& aHandover,
                const InstanceName& aSelf,
                TimePoint aNow);

  /// Counts all slots as occupied after the former owner was evicted: until
  /// load reports show them free or the service's timeout has passed.
  void TakeOverFromEvicted(const TargetName& aTarget, TimePoint aNow);

  /// A former owner reports what it still holds. Only lowers the counts, so
  /// late or repeated reports do no harm.
  void OnFormerOwnerReport(const TargetName& aTarget,
                           const InstanceName& aOwner,
                           unsigned aSlots,
                           unsigned aConnections);

  /// A former owner has died and will report nothing more; what it holds is
  /// treated as after an eviction.
  void OnFormerOwnerDied(const InstanceName& aOwner, TimePoint aNow);

  /// The target's own report of its requests in progress. Two reports in
  /// succession, both to probes sent after the takeover, are needed before an
  /// evicted owner's slots count as free, because reports lag.
  void OnLoadReport(const TargetName& aTarget,
                    unsigned aLoad,
                    TimePoint aProbeSentAt,
                    TimePoint aNow);

  /// The target's own report that it is leaving, or no longer is.
  void SetReportedDraining(const TargetName& aTarget, bool aDraining);

  SlotState State(const TargetName& aTarget, TimePoint aNow);

  /// Takes a slot; nothing unless `State` is `Free`.
  std::optional<SlotTicket> Acquire(const TargetName& aTarget, TimePoint aNow);

  /// Returns a slot. False if the ticket was returned before. After
  /// `ReleaseOwnership` the ticket still counts until returned; see `InFlight`.
  bool Release(const SlotTicket& aTicket);

  /// Counts a new connection; false if the limit is reached.
  bool OpenConnection(const TargetName& aTarget, TimePoint aNow);
  void CloseConnection(const TargetName& aTarget);

  /// Requests of this instance in flight, whether it still is the owner or
  /// not; a former owner reports this number and `Connections`.
  unsigned InFlight(const TargetName& aTarget) const;
  unsigned Connections(const TargetName& aTarget) const;

  /// Slots in use or occupied by former owners.
  unsigned OccupiedSlots(const TargetName& aTarget, TimePoint aNow);

  /// The next time at which occupied slots count as free without a report.
  std::optional<TimePoint> NextExpiry() const;

private:
  struct Use
  {
    InstanceName mOwner;
    unsigned mSlots = 0;
    unsigned mConnections = 0;
    std::optional<TimePoint> mExpiresAt{};
    TimePoint mStartedAt{};
    /// Load left over by the previous report; none before the first one.
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
    /// Least number of own requests in flight since the last load report.
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
