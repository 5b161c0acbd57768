#pragma once

#include "StoreChanges.h"
#include "StoreListing.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pollenway {

/// The objects of one kind with their latest changes, from which other
/// instances are served instead of from the store.
class ObjectHistory
{
public:
  /// Maximum number of batches of changes kept: covers minutes of a rolling
  /// release, and is small enough for a linear search.
  static constexpr size_t kMaxBatches = 256;

  /// Replaces all objects by a complete listing. Earlier changes are no longer
  /// available.
  void Replace(const StoreListing& aListing);
  /// Applies the changes of a watch that continued from `Revision()`.
  void Append(const StoreChanges& aChanges);

  uint64_t Revision() const { return mRevision; }
  StoreListing Listing() const;
  /// Returns all changes after revision `aAfter`, possibly with earlier ones of
  /// the same batch; empty if they are no longer available and a listing is
  /// needed.
  std::optional<StoreChanges> Since(uint64_t aAfter) const;

private:
  uint64_t mRevision = 0;
  /// The changes after this revision are available.
  uint64_t mHistoryStartRevision = 0;
  std::map<std::string, StoredObject> mObjects;
  std::deque<StoreChanges> mBatches;
};

} // namespace pollenway
