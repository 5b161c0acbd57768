#pragma once

#include "Ids.h"
#include "PlacementPlan.h"
#include "TargetTable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace pollenway {

/// Chooses the target of a request. Each object has an order of targets by
/// weighted rendezvous hashing, equal on all instances of a zone, so that its
/// requests meet a target that keeps its state. The first of the order gets
/// the request unless another is expected to answer sooner although it would
/// run the request cold.
class TargetRanking
{
public:
  struct Request
  {
    ServiceName mService;
    /// Hash of the object that the request concerns.
    uint64_t mObject = 0;
    /// Regions in which the request may run: it must be in each list that is
    /// not empty.
    std::span<const RegionName> mRouteRegions;
    std::span<const RegionName> mWorkspaceRegions;
    /// Targets that were tried already.
    std::span<const TargetName> mTried;
    /// The body is expensive to carry between zones.
    bool mHasLargeBody = false;
  };
  /// Asked before a cold target is chosen; false if it may get no request now.
  using ColdCheck = std::function<bool(const TargetState&)>;

  TargetRanking(ZoneName aZone, RegionName aRegion);

  /// Null if no target may get the request.
  std::shared_ptr<TargetState> Pick(const TargetTable& aTable,
                                    const PlacementShares& aShares,
                                    const Request& aRequest,
                                    TimePoint aNow,
                                    const ColdCheck& aMayUseCold) const;

private:
  struct Candidate
  {
    /// 0 where the object has its home, higher the farther from there.
    int mTier;
    double mRank;
    std::shared_ptr<TargetState> mTarget;
  };

  std::vector<Candidate> Rank(const TargetTable& aTable,
                              const PlacementShares& aShares,
                              const Request& aRequest) const;
  int TierOf(const TargetState& aTarget, int aHomeDistance) const;

  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
