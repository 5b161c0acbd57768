#pragma once

#include "SelectionPolicy.h"
#include "TargetObservations.h"

#include <algorithm>

namespace pollenway {

/// Selects a target of one service for a request that this instance received:
/// the policy's choice in the nearest tier (own zone, own region, others by
/// latency) that has free slots. If no tier has any, the request is queued at a
/// target of the nearest tier.
template<SelectionPolicy Policy>
class BasicTargetSelector : public TargetObservations
{
public:
  using TargetObservations::TargetObservations;

  /// Returns nothing if no target may be used (`NoTarget`). `aExcluded` holds
  /// the targets already tried for the request.
  std::optional<TargetName> Select(std::span<const TargetName> aExcluded,
                                   Random& aRandom,
                                   TimePoint aNow) const
  {
    // A reason is considered only if no target has an earlier one.
    static constexpr TargetReason kOrder[] = {
      TargetReason::Usable,
      TargetReason::NoRoom,
      TargetReason::ReportedUnhealthy,
      TargetReason::Ejected,
    };
    auto all = Assess(aExcluded, aNow);
    if constexpr (!Policy::kUsesLoad) {
      for (auto& it : all) {
        if (it.mReason == TargetReason::NoRoom) {
          it.mReason = TargetReason::Usable;
        }
      }
    }
    std::vector<const TargetAssessment*> nearest;
    for (const auto reason : kOrder) {
      nearest.clear();
      for (const auto& it : all) {
        if (it.mReason != reason) {
          continue;
        }
        if (!nearest.empty() && it.mTier < nearest.front()->mTier) {
          nearest.clear();
        }
        if (nearest.empty() || it.mTier == nearest.front()->mTier) {
          nearest.push_back(&it);
        }
      }
      if (!nearest.empty()) {
        return nearest[Policy::Choose(nearest, aRandom)]->mName;
      }
    }
    return std::nullopt;
  }
};

using TargetSelector = BasicTargetSelector<LeastOutstandingOfTwo>;

} // namespace pollenway
