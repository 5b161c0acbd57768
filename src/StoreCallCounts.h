#pragma once

#include <cstdint>

namespace pollenway {

/// Numbers of calls of one store client since its creation. A watch counts as
/// one.
struct StoreCallCounts
{
  uint64_t Total() const
  {
    return mGets + mLists + mWrites + mWatches + mInstanceLists;
  }

  uint64_t mGets = 0;
  uint64_t mLists = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mInstanceLists = 0;
  /// Calls of any kind that got no answer.
  uint64_t mFailures = 0;
};

} // namespace pollenway
