#include "TargetRanking.h"

#include "HashOf.h"
#include "MixHash.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

/// Share of the slots that may be taken before the next target of the rank is
/// used. The rest absorbs requests of other instances that are on their way.
constexpr double kFullShare = 0.95;
/// A target that turns away more than this share of its requests is used only
/// if all others are full.
constexpr double kUnreliableShedShare = 0.25;

bool Allows(std::span<const RegionName> aHomes, const RegionName& aRegion)
{
  return aHomes.empty() ||
         std::find(aHomes.begin(), aHomes.end(), aRegion) != aHomes.end();
}

} // namespace

TargetRanking::TargetRanking(ZoneName aZone, RegionName aRegion)
  : mZone(std::move(aZone))
  , mRegion(std::move(aRegion))
{
}

std::vector<TargetRanking::Candidate> TargetRanking::Rank(
  const TargetTable& aTable,
  const Request& aRequest) const
{
  std::vector<Candidate> out;
  const auto& targets = aTable.OfService(aRequest.mService);
  out.reserve(targets.size());
  for (const auto& it : targets) {
    const auto& record = it->Record();
    if (aTable.IsEvacuated(record.mZone) ||
        !Allows(aRequest.mRouteHomes, it->Region()) ||
        !Allows(aRequest.mWorkspaceHomes, it->Region()) ||
        std::find(aRequest.mTried.begin(),
                  aRequest.mTried.end(),
                  record.mName) != aRequest.mTried.end()) {
      continue;
    }
    double weight = std::max(1U, record.mSlots);
    weight *= it->Region() == mRegion ? aRequest.mWeights.mRegion : 1;
    weight *= record.mZone == mZone ? aRequest.mWeights.mZone : 1;
    const uint64_t hash =
      MixHash(aRequest.mObject, HashOf({ record.mName.Text() }));
    // Exponential variates: the smallest is drawn in proportion to weight.
    out.push_back({ -std::log(1 - UnitOfHash(hash)) / weight, it });
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mRank < aRight.mRank;
  });
  return out;
}

std::shared_ptr<TargetState> TargetRanking::Pick(
  const TargetTable& aTable,
  const Request& aRequest,
  TimePoint aNow,
  const ColdCheck& aMayUseCold) const
{
  const auto ranked = Rank(aTable, aRequest);
  const auto isOpen = [&](const TargetState& aTarget) {
    return !aTarget.IsPaused(aNow) &&
           (!aTarget.IsCold(aNow) || aMayUseCold(aTarget));
  };
  for (const auto& it : ranked) {
    const double room = it.mTarget->Record().mSlots * kFullShare;
    if (it.mTarget->EstimatedLoad(aNow) < room &&
        it.mTarget->ShedShare(aNow) < kUnreliableShedShare &&
        isOpen(*it.mTarget)) {
      return it.mTarget;
    }
  }
  std::shared_ptr<TargetState> best;
  double bestLoad = 0;
  for (const auto& it : ranked) {
    const double load = (it.mTarget->EstimatedLoad(aNow) + 1) /
                        std::max(1U, it.mTarget->Record().mSlots) *
                        (1 + 4 * it.mTarget->ShedShare(aNow));
    if ((!best || load < bestLoad) && isOpen(*it.mTarget)) {
      best = it.mTarget;
      bestLoad = load;
    }
  }
  return best;
}

} // namespace pollenway
