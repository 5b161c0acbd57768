#include "TargetAnnouncements.h"

#include "HashOf.h"
#include "RegisteredTarget.h"

#include <algorithm>
#include <vector>

namespace pollenway {

namespace {

/// Age above which a target's age makes no difference.
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);

bool IsLater(int64_t aStartedAtMs, int64_t aThanMs)
{
  return aStartedAtMs != 0 && aThanMs != 0 && aStartedAtMs > aThanMs;
}

} // namespace

std::string_view Name(ClosedReason aReason)
{
  return aReason == ClosedReason::Leaving ? "leaving" : "quiet";
}

bool TargetAnnouncements::IsInForce(
  const std::optional<Announcement>& aAnnouncement,
  int64_t aStartedAtMs,
  TimePoint aNow)
{
  return aAnnouncement && aNow < aAnnouncement->mUntil &&
         !IsLater(aStartedAtMs, aAnnouncement->mStartedAtMs);
}

bool TargetAnnouncements::Announce(std::optional<Announcement>& aCurrent,
                                   const Announcement& aNew)
{
  if (!aCurrent || IsLater(aNew.mStartedAtMs, aCurrent->mStartedAtMs)) {
    aCurrent = aNew;
    return true;
  }
  if (IsLater(aCurrent->mStartedAtMs, aNew.mStartedAtMs)) {
    return false;
  }
  if (aNew.mSentAt >= aCurrent->mLatestSentAt) {
    aCurrent->mLatestSentAt = aNew.mSentAt;
    aCurrent->mLatestUntil = aNew.mUntil;
  }
  if (aNew.mUntil <= aCurrent->mUntil) {
    return false;
  }
  aCurrent->mUntil = aNew.mUntil;
  aCurrent->mSentAt = aNew.mSentAt;
  aCurrent->mIsEndReported = false;
  return true;
}

bool TargetAnnouncements::IsOf(const Incarnation& aIncarnation,
                               ClosedReason aReason,
                               TimePoint aSentAt)
{
  const bool byClocks = aSentAt >= aIncarnation.mStartedAt;
  const bool byRecord = aSentAt >= aIncarnation.mEarliestStart;
  // A quiet time ends by itself, so a doubt closes the target. A target that
  // leaves stays closed for good, and announces it again with its next answer.
  return aReason == ClosedReason::Quiet ? byClocks || byRecord
                                        : byClocks && byRecord;
}

int64_t TargetAnnouncements::AnsweringStart(const RegisteredTarget& aTarget,
                                            ClosedReason aReason,
                                            TimePoint aSentAt) const
{
  const auto it = mIncarnations.find(aTarget.mName);
  const bool isLater = it != mIncarnations.end() &&
                       IsLater(it->second.mStartedAtMs, aTarget.mStartedAtMs) &&
                       IsOf(it->second, aReason, aSentAt);
  return isLater ? it->second.mStartedAtMs : aTarget.mStartedAtMs;
}

void TargetAnnouncements::OnRecord(const RegisteredTarget& aTarget,
                                   TimePoint aNow,
                                   int64_t aNowMs)
{
  Incarnation& incarnation = mIncarnations[aTarget.mName];
  if (incarnation.mStartedAtMs == aTarget.mStartedAtMs) {
    return;
  }
  incarnation.mStartedAtMs = aTarget.mStartedAtMs;
  // A start time may be any number.
  const int64_t startedAtMs =
    std::clamp(aTarget.mStartedAtMs, aNowMs - kMaxAge.count(), aNowMs);
  incarnation.mStartedAt =
    aNow - std::chrono::milliseconds(aNowMs - startedAtMs);
  incarnation.mEarliestStart = aNow - kMaxRecordDelay;
  const auto it = mEntries.find(aTarget.mName);
  if (it != mEntries.end()) {
    Entry& entry = it->second;
    Reassign(
      aTarget.mName, entry.mLeaving, ClosedReason::Leaving, incarnation, aNow);
    Reassign(
      aTarget.mName, entry.mQuiet, ClosedReason::Quiet, incarnation, aNow);
  }
}

void TargetAnnouncements::Reassign(const TargetName& aTarget,
                                   std::optional<Announcement>& aAnnouncement,
                                   ClosedReason aReason,
                                   const Incarnation& aIncarnation,
                                   TimePoint aNow) const
{
  if (!aAnnouncement ||
      !IsLater(aIncarnation.mStartedAtMs, aAnnouncement->mStartedAtMs) ||
      !IsOf(aIncarnation, aReason, aAnnouncement->mLatestSentAt)) {
    return;
  }
  aAnnouncement->mStartedAtMs = aIncarnation.mStartedAtMs;
  if (!IsOf(aIncarnation, aReason, aAnnouncement->mSentAt)) {
    aAnnouncement->mUntil = aAnnouncement->mLatestUntil;
  }
  if (aAnnouncement->mUntil > aNow) {
    const bool isLeaving = aReason == ClosedReason::Leaving;
    Report(aTarget,
           *aAnnouncement,
           aReason,
           true,
           isLeaving ? Duration{} : aAnnouncement->mUntil - aNow);
  }
}

TargetAnnouncements::Entry& TargetAnnouncements::EntryOf(
  const TargetName& aTarget)
{
  const auto [it, isNew] = mEntries.try_emplace(aTarget);
  if (isNew) {
    mNameFilter.set(HashOf({ aTarget.Text() }) % kNameFilterBits);
  }
  return it->second;
}

void TargetAnnouncements::RebuildNameFilter()
{
  mNameFilter.reset();
  for (const auto& [name, entry] : mEntries) {
    mNameFilter.set(HashOf({ name.Text() }) % kNameFilterBits);
  }
}

void TargetAnnouncements::OnLeaving(const RegisteredTarget& aTarget,
                                    TimePoint aSentAt)
{
  const Announcement announcement{ .mStartedAtMs = AnsweringStart(
                                     aTarget, ClosedReason::Leaving, aSentAt),
                                   .mUntil = TimePoint::max(),
                                   .mSentAt = aSentAt,
                                   .mLatestUntil = TimePoint::max(),
                                   .mLatestSentAt = aSentAt };
  if (Announce(EntryOf(aTarget.mName).mLeaving, announcement)) {
    Report(aTarget.mName, announcement, ClosedReason::Leaving, true, {});
  }
}

void TargetAnnouncements::OnQuiet(const RegisteredTarget& aTarget,
                                  Duration aTime,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  if (aTime <= Duration::zero()) {
    return;
  }
  const Duration time = std::min(aTime, kMaxQuietTime);
  const double delay =
    mRandom.Uniform() * std::min(ToSeconds(time) * kMaxReturnDelayFraction,
                                 ToSeconds(kMaxReturnDelay));
  const TimePoint until = aNow + time + FromSeconds(delay);
  const Announcement announcement{ .mStartedAtMs = AnsweringStart(
                                     aTarget, ClosedReason::Quiet, aSentAt),
                                   .mUntil = until,
                                   .mSentAt = aSentAt,
                                   .mLatestUntil = until,
                                   .mLatestSentAt = aSentAt };
  if (Announce(EntryOf(aTarget.mName).mQuiet, announcement)) {
    Report(aTarget.mName,
           announcement,
           ClosedReason::Quiet,
           true,
           announcement.mUntil - aNow);
  }
}

bool TargetAnnouncements::OnMalformed(const RegisteredTarget& aTarget)
{
  return !std::exchange(EntryOf(aTarget.mName).mHasSentMalformed, true);
}

std::optional<ClosedReason> TargetAnnouncements::Find(
  const RegisteredTarget& aTarget,
  TimePoint aNow) const
{
  const auto it = mEntries.find(aTarget.mName);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  if (IsInForce(it->second.mLeaving, aTarget.mStartedAtMs, aNow)) {
    return ClosedReason::Leaving;
  }
  if (IsInForce(it->second.mQuiet, aTarget.mStartedAtMs, aNow)) {
    return ClosedReason::Quiet;
  }
  return std::nullopt;
}

std::optional<int64_t> TargetAnnouncements::LeavingStart(
  const TargetName& aTarget) const
{
  const auto it = mEntries.find(aTarget);
  if (it == mEntries.end() || !it->second.mLeaving) {
    return std::nullopt;
  }
  return it->second.mLeaving->mStartedAtMs;
}

std::optional<TimePoint> TargetAnnouncements::QuietUntil(
  const RegisteredTarget& aTarget,
  TimePoint aNow) const
{
  if (Find(aTarget, aNow) != ClosedReason::Quiet) {
    return std::nullopt;
  }
  return mEntries.at(aTarget.mName).mQuiet->mUntil;
}

void TargetAnnouncements::ReportIfEnded(
  const TargetName& aTarget,
  std::optional<Announcement>& aAnnouncement,
  ClosedReason aReason,
  const RegisteredTarget* aRecord,
  TimePoint aNow) const
{
  if (!aAnnouncement || aAnnouncement->mIsEndReported) {
    return;
  }
  const bool isReplaced =
    aRecord && IsLater(aRecord->mStartedAtMs, aAnnouncement->mStartedAtMs);
  if (isReplaced || aAnnouncement->mUntil <= aNow) {
    aAnnouncement->mIsEndReported = true;
    Report(aTarget, *aAnnouncement, aReason, false, {});
  }
}

void TargetAnnouncements::Expire(
  TimePoint aNow,
  bool aIsStoreLost,
  const std::function<const RegisteredTarget*(const TargetName&)>& aFindRecord)
{
  const Duration elapsed =
    mExpiredAt == TimePoint{} || aIsStoreLost ? Duration() : aNow - mExpiredAt;
  mExpiredAt = aNow;
  const size_t n = mEntries.size();
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& [name, entry] = *it;
    const auto* record = aFindRecord(name);
    ReportIfEnded(name, entry.mLeaving, ClosedReason::Leaving, record, aNow);
    ReportIfEnded(name, entry.mQuiet, ClosedReason::Quiet, record, aNow);
    // A restored store may bring back the record of the incarnation that has
    // left, also after a later one has started.
    const bool isListed =
      record && (!entry.mLeaving ||
                 !IsLater(record->mStartedAtMs, entry.mLeaving->mStartedAtMs));
    entry.mUnlistedTime = isListed ? Duration() : entry.mUnlistedTime + elapsed;
    const auto next = std::next(it);
    if (entry.mUnlistedTime >= kUnlistedTime) {
      Forget(it);
    }
    it = next;
  }
  LimitUnlisted();
  if (mEntries.size() != n) {
    RebuildNameFilter();
  }
}

void TargetAnnouncements::LimitUnlisted()
{
  std::vector<Entries::iterator> unlisted;
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
    if (it->second.mUnlistedTime > Duration::zero()) {
      unlisted.push_back(it);
    }
  }
  if (unlisted.size() <= kMaxUnlisted) {
    return;
  }
  std::sort(unlisted.begin(),
            unlisted.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->second.mUnlistedTime > aRight->second.mUnlistedTime;
            });
  unlisted.resize(unlisted.size() - kMaxUnlisted);
  for (const auto& it : unlisted) {
    Forget(it);
  }
}

void TargetAnnouncements::Forget(Entries::iterator aEntry)
{
  const auto& [name, entry] = *aEntry;
  for (const auto& [announcement, reason] :
       { std::pair(entry.mLeaving, ClosedReason::Leaving),
         std::pair(entry.mQuiet, ClosedReason::Quiet) }) {
    if (announcement && !announcement->mIsEndReported) {
      Report(name, *announcement, reason, false, {});
    }
  }
  mEntries.erase(aEntry);
}

void TargetAnnouncements::Report(const TargetName& aTarget,
                                 const Announcement& aAnnouncement,
                                 ClosedReason aReason,
                                 bool aIsClosed,
                                 Duration aRemaining) const
{
  if (mOnChange) {
    mOnChange({ .mTarget = aTarget,
                .mStartedAtMs = aAnnouncement.mStartedAtMs,
                .mReason = aReason,
                .mIsClosed = aIsClosed,
                .mRemaining = aRemaining });
  }
}

} // namespace pollenway
