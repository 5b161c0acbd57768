#pragma once

#include "HashOf.h"
#include "HomeMap.h"
#include "Ids.h"

#include <compare>
#include <string>
#include <tuple>

namespace pollenway {

/// Identity of an idempotency record.
struct RecordKey
{
  WorkspaceName mWorkspace;
  /// The caller's `Idempotency-Key`.
  std::string mKey;

  auto operator<=>(const RecordKey&) const = default;

  /// Home partition, 0 to `kHomePartitions` - 1.
  unsigned Partition() const
  {
    return unsigned(HashOf({ mWorkspace.Text(), mKey }) % kHomePartitions);
  }

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mWorkspace, aSelf.mKey);
  }
};

} // namespace pollenway
