#include "SelectionCounts.h"

#include "MetricsWriter.h"

namespace pollenway {

void SelectionCounts::Add(const RegionName& aRegion, SelectionReason aReason)
{
  ++mCounts[aRegion][size_t(aReason)];
}

uint64_t SelectionCounts::Of(const RegionName& aRegion,
                             SelectionReason aReason) const
{
  const auto it = mCounts.find(aRegion);
  return it == mCounts.end() ? 0 : it->second[size_t(aReason)];
}

void SelectionCounts::WriteTo(MetricsWriter& aWriter) const
{
  aWriter.Begin("pollenway_selections_total",
                "counter",
                "Selected targets by their region and the reason.");
  for (const auto& [region, counts] : mCounts) {
    for (const auto reason : kSelectionReasons) {
      aWriter.Sample({ { "region", region.Text() },
                       { "reason", std::string(Name(reason)) } },
                     counts[size_t(reason)]);
    }
  }
}

} // namespace pollenway
