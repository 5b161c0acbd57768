#pragma once

#include "Ids.h"
#include "TargetTable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace pollenway {

/// How strongly near targets are preferred, as factors of a target's weight.
struct LocalityWeights
{
  double mRegion = 10;
  double mZone = 3;
};

/// Chooses the target of a request. Each object has a rank of targets by
/// weighted rendezvous hashing, which is equal on all instances of a zone, so
/// that its requests meet targets which keep its state. The first target of
/// the rank with room gets the request.
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
    std::span<const RegionName> mRouteHomes;
    std::span<const RegionName> mWorkspaceHomes;
    /// Targets that were tried already.
    std::span<const TargetName> mTried;
    LocalityWeights mWeights;
  };
  /// Asked before a cold target is chosen; false if it may get no request now.
  using ColdCheck = std::function<bool(const TargetState&)>;

  TargetRanking(ZoneName aZone, RegionName aRegion);

  /// Null if no target may get the request.
  std::shared_ptr<TargetState> Pick(const TargetTable& aTable,
                                    const Request& aRequest,
                                    TimePoint aNow,
                                    const ColdCheck& aMayUseCold) const;

private:
  struct Candidate
  {
    double mRank;
    std::shared_ptr<TargetState> mTarget;
  };

  std::vector<Candidate> Rank(const TargetTable& aTable,
                              const Request& aRequest) const;

  ZoneName mZone;
  RegionName mRegion;
};

} // namespace pollenway
