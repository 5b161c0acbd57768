#pragma once

#include "StorePosition.h"

#include <cstddef>
#include <set>

namespace pollenway {

/// The store's revisions whose changes this instance has received, of any kind.
/// All kinds share one counter. If the store has reached a revision and each
/// change up to it was received, no watch has missed one.
class ReceivedRevisions
{
public:
  /// Maximum number of revisions that are remembered, the latest ones.
  static constexpr size_t kMaxRevisions = 4096;

  /// Adds the revision of a received change. A later era replaces all; one of
  /// an earlier era is ignored.
  void Add(StorePosition aVersion);
  /// Returns true if each change after `aAfter`, up to `aUpTo`, was received,
  /// so that a watch from `aAfter` has nothing to deliver.
  bool Cover(StorePosition aAfter, StorePosition aUpTo) const;

private:
  StoreEra mEra;
  std::set<uint64_t> mRevisions;
};

} // namespace pollenway
