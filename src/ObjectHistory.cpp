#include "ObjectHistory.h"

#include <algorithm>

namespace pollenway {

void ObjectHistory::Replace(const StoreListing& aListing)
{
  mObjects.clear();
  for (const auto& it : aListing.mObjects) {
    mObjects.emplace(it.mName, it);
  }
  mRevision = std::max(mRevision, aListing.mRevision);
  mHistoryStartRevision = mRevision;
  mBatches.clear();
}

void ObjectHistory::Append(const StoreChanges& aChanges)
{
  mRevision = std::max(mRevision, aChanges.mRevision);
  if (aChanges.mChanges.empty()) {
    return;
  }
  for (const auto& it : aChanges.mChanges) {
    if (it.mValue) {
      mObjects[it.mName] = { it.mName, it.mVersion, *it.mValue };
    } else {
      mObjects.erase(it.mName);
    }
  }
  mBatches.push_back(aChanges);
  if (mBatches.size() > kMaxBatches) {
    mHistoryStartRevision = mBatches.front().mRevision;
    mBatches.pop_front();
  }
}

StoreListing ObjectHistory::Listing() const
{
  StoreListing out;
  out.mRevision = mRevision;
  for (const auto& [name, object] : mObjects) {
    out.mObjects.push_back(object);
  }
  return out;
}

std::optional<StoreChanges> ObjectHistory::Since(uint64_t aAfter) const
{
  if (aAfter < mHistoryStartRevision) {
    return std::nullopt;
  }
  StoreChanges out;
  out.mRevision = std::max(mRevision, aAfter);
  for (const auto& batch : mBatches) {
    if (batch.mRevision > aAfter) {
      out.mChanges.insert(
        out.mChanges.end(), batch.mChanges.begin(), batch.mChanges.end());
    }
  }
  return out;
}

} // namespace pollenway
