#pragma once

#include "Ids.h"
#include "RegisteredTarget.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenway {

/// Order of the records of each target: tells an outdated record from a newer
/// one. A store that comes back from an older copy holds outdated records, also
/// of targets that have left.
///
/// A record is older than another one of its target if its incarnation started
/// earlier, or if it has a lower sequence in the same incarnation. Once the
/// store's record of a target was removed, the same record does not count again
/// either. Unknown start times and sequences are never taken as older.
class NewestTargetRecords
{
public:
  /// Maximum number of targets that are remembered after they have left.
  static constexpr size_t kMaxReleased = 4096;
  /// Time for which a target is remembered after it has left. The store's copy
  /// is seconds old, and an outage precedes its return.
  static constexpr Duration kReleasedTime = std::chrono::seconds(120);
  /// Time after which the target must have renewed an outdated record that the
  /// store still holds: the store removes records after three intervals of
  /// silence, a few seconds.
  static constexpr Duration kRenewalTime = std::chrono::seconds(15);

  /// What is known of the newest record of a target.
  struct Newest
  {
    int64_t mStartedAtMs = 0;
    uint64_t mSequence = 0;
    uint64_t mVersion = 0;
    bool mIsDraining = false;
  };

  /// Returns true if `aRecord` is the newest one of its target. An outdated one
  /// is kept aside as the one that the store holds.
  bool Accept(const RegisteredTarget& aRecord, TimePoint aNow);
  /// Called when a target is no longer in use, since it drains.
  void OnDraining(const TargetName& aName, TimePoint aNow);
  /// Called when a target is no longer in use, since its record was removed.
  void OnRemoved(const TargetName& aName, TimePoint aNow);
  /// Called when the store holds no record of a target.
  void DropOutdated(const TargetName& aName, TimePoint aNow);
  /// Called when the store holds records of the targets `aNames` only.
  void RetainOutdated(const std::set<TargetName>& aNames, TimePoint aNow);
  /// Forgets the targets that left `kReleasedTime` ago. Returns the outdated
  /// records that the store has held for `kRenewalTime`; the targets have
  /// renewed them, so they count from now on. A target that was draining is
  /// excepted: it would have changed its record.
  std::vector<RegisteredTarget> Expire(TimePoint aNow);

  /// Returns true if the store holds an outdated record of the target.
  bool HasOutdated(const TargetName& aName) const;
  /// Returns empty if nothing is known of the target.
  std::optional<Newest> Find(const TargetName& aName) const;
  /// Returns the number of targets, both in use and released.
  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Newest mNewest;
    /// True if the target is no longer in use.
    bool mIsReleased = false;
    /// True if the store's record was removed since the newest one.
    bool mIsRemoved = false;
    std::optional<RegisteredTarget> mOutdated;
    /// Time at which `Expire` handles the entry; the zero time for never.
    TimePoint mDueAt{};
  };

  static bool IsOutdated(const Entry& aEntry, const RegisteredTarget& aRecord);
  void Release(const TargetName& aName, Entry& aEntry, TimePoint aNow);
  void Schedule(const TargetName& aName, Entry& aEntry, TimePoint aDueAt);
  void Forget(const TargetName& aName);
  void LimitReleased();

  std::unordered_map<TargetName, Entry> mEntries;
  std::set<std::pair<TimePoint, TargetName>> mDue;
  size_t mReleasedCount = 0;
};

} // namespace pollenway
