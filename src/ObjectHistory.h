#pragma once

#include "StoreChanges.h"
#include "StoreListing.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pollenway {

/// The objects of one kind with their latest changes, so that other instances
/// can follow them here instead of at the store.
class ObjectHistory
{
public:
  /// Batches of changes kept: minutes of a rolling release, and few enough to
  /// search in order.
  static constexpr size_t kMaxBatches = 256;

  /// Takes a complete listing. Changes from before it are no longer known.
  void Replace(const StoreListing& aListing);
  /// Takes the changes of a watch that continued from `Revision()`.
  void Append(const StoreChanges& aChanges);

  uint64_t Revision() const { return mRevision; }
  StoreListing Listing() const;
  /// All changes after revision `aAfter`, and possibly earlier ones of the same
  /// batch; empty if they are no longer known and a listing is needed.
  std::optional<StoreChanges> Since(uint64_t aAfter) const;

private:
  uint64_t mRevision = 0;
  /// The changes after this revision are known.
  uint64_t mHistoryStartRevision = 0;
  std::map<std::string, StoredObject> mObjects;
  std::deque<StoreChanges> mBatches;
};

} // namespace pollenway
