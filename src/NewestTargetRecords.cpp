#include "NewestTargetRecords.h"

#include <algorithm>

namespace pollenway {

bool NewestTargetRecords::IsOutdated(const Entry& aEntry,
                                     const RegisteredTarget& aRecord)
{
  const Newest& newest = aEntry.mNewest;
  if (newest.mStartedAtMs != aRecord.mStartedAtMs) {
    return newest.mStartedAtMs != 0 && aRecord.mStartedAtMs != 0 &&
           aRecord.mStartedAtMs < newest.mStartedAtMs;
  }
  // The store counts a write that changes only the sequence as none: the record
  // of a copy may have a higher sequence than the newest one that was reported,
  // and still be of the same write.
  if (aEntry.mIsRemoved && newest.mVersion != 0 &&
      aRecord.mRecordVersion == newest.mVersion) {
    return true;
  }
  if (newest.mSequence == 0 || aRecord.mRecordSequence == 0) {
    return false;
  }
  return aEntry.mIsRemoved ? aRecord.mRecordSequence <= newest.mSequence
                           : aRecord.mRecordSequence < newest.mSequence;
}

bool NewestTargetRecords::Accept(const RegisteredTarget& aRecord,
                                 TimePoint aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aRecord.mName);
  Entry& entry = it->second;
  if (!isNew && IsOutdated(entry, aRecord)) {
    if (!entry.mOutdated) {
      Schedule(aRecord.mName, entry, aNow + kRenewalTime);
    }
    entry.mOutdated = aRecord;
    return false;
  }
  Newest& newest = entry.mNewest;
  // A record of another writer, without these fields, does not make the
  // target's own records count again that are older.
  const bool isSameIncarnation =
    newest.mStartedAtMs == aRecord.mStartedAtMs || aRecord.mStartedAtMs == 0;
  if (!isSameIncarnation) {
    newest.mStartedAtMs = aRecord.mStartedAtMs;
    newest.mSequence = 0;
  }
  if (newest.mStartedAtMs == aRecord.mStartedAtMs) {
    newest.mSequence = std::max(newest.mSequence, aRecord.mRecordSequence);
  }
  newest.mVersion = aRecord.mRecordVersion;
  newest.mIsDraining = aRecord.mDraining;
  entry.mOutdated.reset();
  entry.mIsRemoved = false;
  if (entry.mIsReleased) {
    entry.mIsReleased = false;
    --mReleasedCount;
  }
  Schedule(aRecord.mName, entry, {});
  return true;
}

void NewestTargetRecords::OnDraining(const TargetName& aName, TimePoint aNow)
{
  const auto it = mEntries.find(aName);
  if (it != mEntries.end()) {
    Release(it->first, it->second, aNow);
  }
}

void NewestTargetRecords::OnRemoved(const TargetName& aName, TimePoint aNow)
{
  const auto it = mEntries.find(aName);
  if (it != mEntries.end()) {
    it->second.mIsRemoved = true;
    Release(it->first, it->second, aNow);
  }
}

void NewestTargetRecords::DropOutdated(const TargetName& aName, TimePoint aNow)
{
  const auto it = mEntries.find(aName);
  if (it == mEntries.end() || !it->second.mOutdated) {
    return;
  }
  it->second.mOutdated.reset();
  Schedule(it->first,
           it->second,
           it->second.mIsReleased ? aNow + kReleasedTime : TimePoint{});
}

void NewestTargetRecords::RetainOutdated(const std::set<TargetName>& aNames,
                                         TimePoint aNow)
{
  for (const auto& [name, entry] : mEntries) {
    if (entry.mOutdated && !aNames.contains(name)) {
      DropOutdated(name, aNow);
    }
  }
}

std::vector<RegisteredTarget> NewestTargetRecords::Expire(TimePoint aNow)
{
  std::vector<RegisteredTarget> out;
  while (!mDue.empty() && mDue.begin()->first <= aNow) {
    const TargetName name = mDue.begin()->second;
    Entry& entry = mEntries.at(name);
    if (entry.mOutdated && entry.mNewest.mIsDraining &&
        entry.mOutdated->mStartedAtMs == entry.mNewest.mStartedAtMs) {
      Schedule(name, entry, aNow + kReleasedTime);
      continue;
    }
    if (entry.mOutdated) {
      out.push_back(std::move(*entry.mOutdated));
    }
    Forget(name);
  }
  return out;
}

bool NewestTargetRecords::HasOutdated(const TargetName& aName) const
{
  const auto it = mEntries.find(aName);
  return it != mEntries.end() && it->second.mOutdated;
}

std::optional<NewestTargetRecords::Newest> NewestTargetRecords::Find(
  const TargetName& aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? std::nullopt
                              : std::optional(it->second.mNewest);
}

void NewestTargetRecords::Release(const TargetName& aName,
                                  Entry& aEntry,
                                  TimePoint aNow)
{
  if (!aEntry.mIsReleased) {
    aEntry.mIsReleased = true;
    ++mReleasedCount;
  }
  // The time of an outdated record that the store holds continues.
  if (!aEntry.mOutdated) {
    Schedule(aName, aEntry, aNow + kReleasedTime);
  }
  LimitReleased();
}

void NewestTargetRecords::Schedule(const TargetName& aName,
                                   Entry& aEntry,
                                   TimePoint aDueAt)
{
  if (aEntry.mDueAt != TimePoint{}) {
    mDue.erase({ aEntry.mDueAt, aName });
  }
  aEntry.mDueAt = aDueAt;
  if (aDueAt != TimePoint{}) {
    mDue.emplace(aDueAt, aName);
  }
}

void NewestTargetRecords::Forget(const TargetName& aName)
{
  const auto it = mEntries.find(aName);
  Schedule(aName, it->second, {});
  if (it->second.mIsReleased) {
    --mReleasedCount;
  }
  mEntries.erase(it);
}

void NewestTargetRecords::LimitReleased()
{
  while (mReleasedCount > kMaxReleased) {
    const auto it =
      std::find_if(mDue.begin(), mDue.end(), [&](const auto& aDue) {
        return mEntries.at(aDue.second).mIsReleased;
      });
    const TargetName name = it->second;
    Forget(name);
  }
}

} // namespace pollenway
