#include "ObjectHistory.h"

#include <algorithm>
#include <utility>

namespace pollenway {

void ObjectHistory::Replace(const StoreListing& aListing)
{
  if (aListing.mPosition.mEra < mPosition.mEra) {
    return;
  }
  mPosition = aListing.mPosition;
  mHistoryStart = mPosition;
  mObjects.clear();
  mDeletions.clear();
  mByName.clear();
  for (const auto& it : aListing.mObjects) {
    Apply({ {}, it.mName, it.mVersion, it.mValue }, mPosition);
  }
}

const StoreChange* ObjectHistory::Find(const std::string& aName) const
{
  const auto it = mByName.find(aName);
  return it != mByName.end() && it->second->mChange.mValue
           ? &it->second->mChange
           : nullptr;
}

void ObjectHistory::RemoveCovered(StoreChanges& aChanges) const
{
  if (aChanges.mPosition.mEra != mPosition.mEra) {
    return;
  }
  std::erase_if(aChanges.mChanges, [&](const StoreChange& aChange) {
    const auto* object = Find(aChange.mName);
    if (!object) {
      return false;
    }
    // The version of a deletion may be that of the object that was deleted.
    return aChange.mValue ? aChange.mVersion <= object->mVersion
                          : aChange.mVersion < object->mVersion;
  });
}

void ObjectHistory::Append(const StoreChanges& aChanges)
{
  if (aChanges.mPosition.mEra != mPosition.mEra) {
    return;
  }
  mPosition = std::max(mPosition, aChanges.mPosition);
  for (const auto& it : aChanges.mChanges) {
    Apply(it, aChanges.mPosition);
  }
  LimitDeletions();
}

void ObjectHistory::Apply(const StoreChange& aChange, StorePosition aPosition)
{
  const auto known = mByName.find(aChange.mName);
  if (known != mByName.end()) {
    const auto old = known->second;
    (old->mChange.mValue ? mObjects : mDeletions).erase(old);
  }
  Entries& entries = aChange.mValue ? mObjects : mDeletions;
  entries.push_back({ aChange, aPosition });
  mByName.insert_or_assign(aChange.mName, std::prev(entries.end()));
}

void ObjectHistory::LimitDeletions()
{
  while (mDeletions.size() > kMaxDeletions) {
    mHistoryStart = std::max(mHistoryStart, mDeletions.front().mPosition);
    mByName.erase(mDeletions.front().mChange.mName);
    mDeletions.pop_front();
  }
}

StoreListing ObjectHistory::Listing() const
{
  StoreListing out;
  out.mPosition = mPosition;
  for (const auto& [name, entry] : mByName) {
    const auto& change = entry->mChange;
    if (change.mValue) {
      out.mObjects.push_back({ name, change.mVersion, *change.mValue });
    }
  }
  return out;
}

std::optional<StoreChanges> ObjectHistory::Since(StorePosition aAfter) const
{
  if (aAfter.mEra != mPosition.mEra || aAfter < mHistoryStart) {
    return std::nullopt;
  }
  StoreChanges out;
  out.mPosition = std::max(mPosition, aAfter);
  for (const Entries* entries : { &mObjects, &mDeletions }) {
    for (auto it = entries->rbegin();
         it != entries->rend() && it->mPosition > aAfter;
         ++it) {
      out.mChanges.push_back(it->mChange);
    }
  }
  std::sort(out.mChanges.begin(),
            out.mChanges.end(),
            [](const StoreChange& aLeft, const StoreChange& aRight) {
              return aLeft.mVersion < aRight.mVersion;
            });
  return out;
}

} // namespace pollenway
