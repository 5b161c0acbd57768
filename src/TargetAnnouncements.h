#pragma once

#include "Ids.h"
#include "Random.h"
#include "Time.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace pollenway {

struct RegisteredTarget;

/// Why a target receives no requests from this instance.
enum class ClosedReason
{
  Leaving, ///< It announced that it leaves.
  Quiet,   ///< It asked for no requests for some time.
};

/// Returns "leaving" or "quiet".
std::string_view Name(ClosedReason aReason);

/// The targets that are closed to this instance because they have announced it
/// in their answers. An announcement holds for one incarnation of a target: for
/// its name and start time. It does not depend on the target's record, which
/// may still be listed, be missing, or come back from an older copy.
///
/// A record whose start time is not later than that of the announcement is of
/// the same incarnation or of an earlier one, which is gone as well. If either
/// start time is unknown, the name alone is the incarnation.
class TargetAnnouncements
{
public:
  /// Maximum time for which a target may ask for no requests. A longer time
  /// counts as this one.
  static constexpr Duration kMaxQuietTime = std::chrono::hours(1);
  /// Maximum fraction of the announced time, and maximum time, by which an
  /// instance returns later than the target has asked for, so that the
  /// instances do not all return at the same moment.
  static constexpr double kMaxReturnDelayFraction = 0.25;
  static constexpr Duration kMaxReturnDelay = std::chrono::seconds(1);
  /// Time without a record of the target, while the store can be read, after
  /// which its announcement is forgotten. It is longer than the time for which
  /// `NewestTargetRecords` keeps the order of the target's records.
  static constexpr Duration kUnlistedTime = std::chrono::minutes(10);
  /// Maximum number of announcements of targets without a record.
  static constexpr size_t kMaxUnlisted = 4096;

  /// One change of the targets that are closed.
  struct Change
  {
    TargetName mTarget;
    int64_t mStartedAtMs = 0;
    ClosedReason mReason = ClosedReason::Leaving;
    /// True if the target is closed from now on, false if it is open again or
    /// its announcement is forgotten.
    bool mIsClosed = true;
    /// Time until the end of a quiet time; zero for a target that leaves.
    Duration mRemaining{};
  };

  explicit TargetAnnouncements(uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Sets the callback that is called with each change.
  void OnChange(std::function<void(const Change&)> aCallback)
  {
    mOnChange = std::move(aCallback);
  }

  /// Called when a target has announced that it leaves.
  void OnLeaving(const RegisteredTarget& aTarget);
  /// Called when a target has asked for no requests for `aTime`, up to
  /// `kMaxQuietTime`. Zero or a negative time has no effect. The latest end of
  /// several announcements counts.
  void OnQuiet(const RegisteredTarget& aTarget, Duration aTime, TimePoint aNow);
  /// Called when a target has sent a value that can't be read. Returns true the
  /// first time for each target.
  bool OnMalformed(const RegisteredTarget& aTarget);

  /// Returns false if nothing is remembered of the target with this hash of the
  /// name. Cheaper than `Find`, and true for few other targets.
  bool MayConcern(uint64_t aNameHash) const
  {
    return mNameFilter[aNameHash % kNameFilterBits];
  }
  /// Returns the reason for which the target may receive no request now, if
  /// there is one.
  std::optional<ClosedReason> Find(const RegisteredTarget& aTarget,
                                   TimePoint aNow) const;
  bool IsClosed(const RegisteredTarget& aTarget, TimePoint aNow) const
  {
    return !mEntries.empty() && Find(aTarget, aNow);
  }
  /// Returns the start time of the incarnation that has announced that it
  /// leaves, 0 if it is unknown; empty if there was no such announcement.
  std::optional<int64_t> LeavingStart(const TargetName& aTarget) const;
  /// Returns the end of the target's quiet time; empty if the target is open or
  /// leaving.
  std::optional<TimePoint> QuietUntil(const RegisteredTarget& aTarget,
                                      TimePoint aNow) const;

  /// Reports the announcements that no longer count, and forgets old ones.
  /// `aFindRecord` returns a target's current record, or null. While the store
  /// can't be read, targets without a record do not age.
  void Expire(TimePoint aNow,
              bool aIsStoreLost,
              const std::function<const RegisteredTarget*(const TargetName&)>&
                aFindRecord);

  /// Returns the number of targets that are remembered.
  size_t Size() const { return mEntries.size(); }

private:
  static constexpr size_t kNameFilterBits = 4096;

  struct Announcement
  {
    /// Start time of the incarnation that has announced it; 0 if unknown.
    int64_t mStartedAtMs = 0;
    TimePoint mUntil{};
    /// True if it was reported that the announcement no longer counts.
    bool mIsEndReported = false;
  };

  struct Entry
  {
    std::optional<Announcement> mLeaving;
    std::optional<Announcement> mQuiet;
    bool mHasSentMalformed = false;
    /// Time for which the store has held no record of an incarnation that the
    /// announcements concern.
    Duration mUnlistedTime{};
  };
  using Entries = std::unordered_map<TargetName, Entry>;

  static bool IsInForce(const std::optional<Announcement>& aAnnouncement,
                        int64_t aStartedAtMs,
                        TimePoint aNow);
  /// Returns false if the announcement changes nothing.
  static bool Announce(std::optional<Announcement>& aCurrent,
                       const Announcement& aNew);
  void ReportIfEnded(const TargetName& aTarget,
                     std::optional<Announcement>& aAnnouncement,
                     ClosedReason aReason,
                     const RegisteredTarget* aRecord,
                     TimePoint aNow) const;
  Entry& EntryOf(const TargetName& aTarget);
  void Forget(Entries::iterator aEntry);
  void RebuildNameFilter();
  void LimitUnlisted();
  void Report(const TargetName& aTarget,
              const Announcement& aAnnouncement,
              ClosedReason aReason,
              bool aIsClosed,
              Duration aRemaining) const;

  Entries mEntries;
  std::bitset<kNameFilterBits> mNameFilter;
  Random mRandom;
  TimePoint mExpiredAt{};
  std::function<void(const Change&)> mOnChange;
};

} // namespace pollenway
