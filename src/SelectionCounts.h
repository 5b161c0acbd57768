#pragma once

#include "Ids.h"
#include "SelectionReason.h"

#include <array>
#include <cstdint>
#include <iterator>
#include <map>

namespace pollenway {

class MetricsWriter;

/// Numbers of selected targets by the target's region and the reason of the
/// selection.
class SelectionCounts
{
public:
  void Add(const RegionName& aRegion, SelectionReason aReason);
  uint64_t Of(const RegionName& aRegion, SelectionReason aReason) const;
  void WriteTo(MetricsWriter& aWriter) const;

private:
  std::map<RegionName, std::array<uint64_t, std::size(kSelectionReasons)>>
    mCounts;
};

} // namespace pollenway
