#pragma once

#include "Ids.h"
#include "PlacementPlan.h"
#include "SelectionReason.h"
#include "TargetTable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace pollenway {

class TargetAnnouncements;

/// Selects the target of a request. Weighted rendezvous hashing gives each
/// object an order of targets that is the same on all instances of a zone, so
/// that its requests reach a target that keeps its state. The first target in
/// the order is selected unless the next one is expected to answer sooner even
/// though it would run the request cold.
class TargetRanking
{
public:
  struct Request
  {
    ServiceName mService;
    /// Hash of the object that the request concerns.
    uint64_t mObject = 0;
    /// Regions in which the request may run. A target's region must be in each
    /// list that is not empty.
    std::span<const RegionName> mRouteRegions;
    std::span<const RegionName> mWorkspaceRegions;
    /// Targets already tried for the request.
    std::span<const TargetName> mTried;
    /// True if the body is expensive to transfer between zones.
    bool mHasLargeBody = false;
    /// The targets that are closed to this instance; null if there are none.
    const TargetAnnouncements* mAnnouncements = nullptr;
  };
  /// Called before a cold target is selected; returns false if the target may
  /// receive no request now.
  using ColdCheck = std::function<bool(const TargetState&)>;

  struct Choice
  {
    /// Null if no target may receive the request.
    std::shared_ptr<TargetState> mTarget;
    SelectionReason mReason = SelectionReason::Planned;
  };

  TargetRanking(ZoneName aZone, RegionName aRegion);

  Choice Choose(const TargetTable& aTable,
                const PlacementShares& aShares,
                const Request& aRequest,
                TimePoint aNow,
                const ColdCheck& aMayUseCold) const;
  /// Returns the target that `Choose` selects.
  std::shared_ptr<TargetState> Pick(const TargetTable& aTable,
                                    const PlacementShares& aShares,
                                    const Request& aRequest,
                                    TimePoint aNow,
                                    const ColdCheck& aMayUseCold) const;

  /// Returns the earliest end of a quiet time if all targets that may run the
  /// request are closed to this instance and at least one of them is quiet.
  std::optional<TimePoint> QuietUntil(const TargetTable& aTable,
                                      const Request& aRequest,
                                      TimePoint aNow) const;

private:
  struct Candidate
  {
    /// 0 at the distance of the object's home; otherwise higher for targets
    /// farther from this instance.
    int mTier;
    double mRank;
    std::shared_ptr<TargetState> mTarget;
  };

  std::vector<Candidate> Rank(const TargetTable& aTable,
                              const PlacementShares& aShares,
                              const Request& aRequest) const;
  /// `aHomeRegion` is null if each region at the home's distance may have it.
  int TierOf(const TargetState& aTarget,
             int aHomeDistance,
             const RegionName* aHomeRegion) const;
  /// Selects the other region that has the request's home, with a probability
  /// proportional to the region's share. Returns null without shares.
  const RegionName* HomeRegion(const PlacementShares& aShares,
                               const Request& aRequest) const;

  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
