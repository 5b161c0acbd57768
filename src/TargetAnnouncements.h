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
/// A target that has started again may answer before its new record is
/// received. Its earlier incarnation has ended by then, so an answer to a
/// request that was sent after the later one has started is that one's. The
/// start is known from the start time of the record, by the clocks of target
/// and instance, and from the time at which the record is received.
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
  /// Maximum time from the start of a target until its record is received: it
  /// writes one within an interval of its check-ins, and a watch may be late.
  static constexpr Duration kMaxRecordDelay = std::chrono::seconds(4);

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

  /// Called when a target has announced that it leaves. `aTarget` is the record
  /// with which it was chosen, and `aSentAt` the time at which the request was
  /// sent, the zero time if that is unknown.
  void OnLeaving(const RegisteredTarget& aTarget, TimePoint aSentAt);
  /// Called when a target has asked for no requests for `aTime`, up to
  /// `kMaxQuietTime`. Zero or a negative time has no effect. The latest end of
  /// several announcements of an incarnation counts.
  void OnQuiet(const RegisteredTarget& aTarget,
               Duration aTime,
               TimePoint aSentAt,
               TimePoint aNow);
  /// Called with each record that comes into use. Announcements that are filed
  /// under an earlier incarnation and are of this one count for it from now on.
  /// `aNowMs` is the time of day as a Unix time in milliseconds.
  void OnRecord(const RegisteredTarget& aTarget,
                TimePoint aNow,
                int64_t aNowMs);
  /// Called when a target has no record in use any more.
  void OnRecordRemoved(const TargetName& aTarget)
  {
    mIncarnations.erase(aTarget);
  }
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
    /// Time at which the request was sent that was answered with it.
    TimePoint mSentAt{};
    /// The same of the announcement whose request was sent last. It may be of a
    /// later incarnation than the one that ends last.
    TimePoint mLatestUntil{};
    TimePoint mLatestSentAt{};
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

  /// What is known of the start of the incarnation whose record is in use.
  struct Incarnation
  {
    int64_t mStartedAtMs = 0;
    /// By the clocks of the target and this instance.
    TimePoint mStartedAt{};
    /// By the time at which the record was received.
    TimePoint mEarliestStart{};
  };

  static bool IsInForce(const std::optional<Announcement>& aAnnouncement,
                        int64_t aStartedAtMs,
                        TimePoint aNow);
  /// Returns true if an announcement after a request that was sent at `aSentAt`
  /// is the incarnation's own.
  static bool IsOf(const Incarnation& aIncarnation,
                   ClosedReason aReason,
                   TimePoint aSentAt);
  /// Returns the start time of the incarnation that has answered a request.
  int64_t AnsweringStart(const RegisteredTarget& aTarget,
                         ClosedReason aReason,
                         TimePoint aSentAt) const;
  /// Moves an announcement that is the incarnation's own to it.
  void Reassign(const TargetName& aTarget,
                std::optional<Announcement>& aAnnouncement,
                ClosedReason aReason,
                const Incarnation& aIncarnation,
                TimePoint aNow) const;
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
  std::unordered_map<TargetName, Incarnation> mIncarnations;
  std::bitset<kNameFilterBits> mNameFilter;
  Random mRandom;
  TimePoint mExpiredAt{};
  std::function<void(const Change&)> mOnChange;
};

} // namespace pollenway
