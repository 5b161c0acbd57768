#include "TargetRanking.h"

#include "HashOf.h"
#include "MixHash.h"
#include "TargetAnnouncements.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenway {

namespace {

/// Cost of running a request away from the object's home, relative to a run at
/// the home. A target that does not keep the state of an object needs about
/// three times as long for a request, and the slots used in this time are not
/// available to the objects whose state it keeps.
constexpr double kColdRunFactor = 4.5;
/// Run time assumed for a target that has not answered yet.
constexpr double kAssumedRunSeconds = 0.1;
/// Number of candidates compared: the home and the next in the order. More
/// would spread an object over many targets, all of which would run it cold.
constexpr size_t kComparedCandidates = 2;
/// Hash salt that makes the choice of the distance independent of the choice of
/// the target.
constexpr uint64_t kDistanceSalt = 0x706c616365;
/// Factor on the plan's local shares for requests with large bodies, so that
/// more of these objects are placed nearby.
constexpr double kLargeBodyShareFactor = 2.5;

bool Allows(std::span<const RegionName> aAllowedRegions,
            const RegionName& aRegion)
{
  return aAllowedRegions.empty() ||
         std::find(aAllowedRegions.begin(), aAllowedRegions.end(), aRegion) !=
           aAllowedRegions.end();
}

bool IsClosed(const TargetRanking::Request& aRequest,
              const TargetState& aTarget,
              TimePoint aNow)
{
  return aRequest.mAnnouncements &&
         aRequest.mAnnouncements->MayConcern(aTarget.NameHash()) &&
         aRequest.mAnnouncements->IsClosed(aTarget.Record(), aNow);
}

/// Returns the rank of a candidate in weighted rendezvous hashing. With
/// exponential variates, each candidate ranks first with a probability
/// proportional to its weight.
double RankOf(uint64_t aHash, double aWeight)
{
  return -std::log(1 - HashToUnitInterval(aHash)) / aWeight;
}

} // namespace

TargetRanking::TargetRanking(ZoneName aZone, RegionName aRegion)
  : mZone(std::move(aZone))
  , mRegion(std::move(aRegion))
{
}

int TargetRanking::TierOf(const TargetState& aTarget,
                          int aHomeDistance,
                          const RegionName* aHomeRegion) const
{
  const int distance = aTarget.Record().mZone == mZone ? 0
                       : aTarget.Region() == mRegion   ? 1
                                                       : 2;
  const bool isHome = distance == aHomeDistance &&
                      (!aHomeRegion || aTarget.Region() == *aHomeRegion);
  // Targets at the home's distance come first, then the others from the nearest
  // on.
  return isHome ? 0 : distance + 1;
}

const RegionName* TargetRanking::HomeRegion(const PlacementShares& aShares,
                                            const Request& aRequest) const
{
  const RegionName* out = nullptr;
  double bestRank = std::numeric_limits<double>::max();
  for (const auto& [region, share] : aShares.mRegionShares) {
    if (region == mRegion || share <= 0 ||
        !Allows(aRequest.mRouteRegions, region) ||
        !Allows(aRequest.mWorkspaceRegions, region)) {
      continue;
    }
    const uint64_t hash = MixHash(aRequest.mObject, HashOf({ region.Text() }));
    const double rank = RankOf(hash, share);
    if (rank < bestRank) {
      bestRank = rank;
      out = &region;
    }
  }
  return out;
}

std::vector<TargetRanking::Candidate> TargetRanking::Rank(
  const TargetTable& aTable,
  const PlacementShares& aShares,
  const Request& aRequest) const
{
  const double position =
    HashToUnitInterval(MixHash(aRequest.mObject, kDistanceSalt));
  const double shareFactor = aRequest.mHasLargeBody ? kLargeBodyShareFactor : 1;
  const int homeDistance = position < aShares.mZone * shareFactor     ? 0
                           : position < aShares.mRegion * shareFactor ? 1
                                                                      : 2;
  const RegionName* homeRegion =
    homeDistance == 2 ? HomeRegion(aShares, aRequest) : &mRegion;
  std::vector<Candidate> out;
  const auto& targets = aTable.OfService(aRequest.mService);
  out.reserve(targets.size());
  for (const auto& it : targets) {
    const auto& record = it->Record();
    if (aTable.IsEvacuated(record.mZone) ||
        !Allows(aRequest.mRouteRegions, it->Region()) ||
        !Allows(aRequest.mWorkspaceRegions, it->Region()) ||
        std::find(aRequest.mTried.begin(),
                  aRequest.mTried.end(),
                  record.mName) != aRequest.mTried.end()) {
      continue;
    }
    const auto slotWeight = aShares.mSlotWeights.find(record.mZone);
    const double weight =
      std::max(1U, record.mSlots) *
      (slotWeight == aShares.mSlotWeights.end() ? 1 : slotWeight->second);
    const uint64_t hash = MixHash(aRequest.mObject, it->NameHash());
    out.push_back(
      { TierOf(*it, homeDistance, homeRegion), RankOf(hash, weight), it });
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTier != aRight.mTier ? aLeft.mTier < aRight.mTier
                                       : aLeft.mRank < aRight.mRank;
  });
  return out;
}

std::optional<TimePoint> TargetRanking::QuietUntil(const TargetTable& aTable,
                                                   const Request& aRequest,
                                                   TimePoint aNow) const
{
  Request request = aRequest;
  request.mTried = {};
  std::optional<TimePoint> out;
  for (const auto& it : Rank(aTable, {}, request)) {
    if (!IsClosed(request, *it.mTarget, aNow)) {
      return std::nullopt;
    }
    const auto until =
      request.mAnnouncements->QuietUntil(it.mTarget->Record(), aNow);
    if (until) {
      out = std::min(out.value_or(*until), *until);
    }
  }
  return out;
}

std::shared_ptr<TargetState> TargetRanking::Pick(
  const TargetTable& aTable,
  const PlacementShares& aShares,
  const Request& aRequest,
  TimePoint aNow,
  const ColdCheck& aMayUseCold) const
{
  return Choose(aTable, aShares, aRequest, aNow, aMayUseCold).mTarget;
}

TargetRanking::Choice TargetRanking::Choose(const TargetTable& aTable,
                                            const PlacementShares& aShares,
                                            const Request& aRequest,
                                            TimePoint aNow,
                                            const ColdCheck& aMayUseCold) const
{
  const auto ranked = Rank(aTable, aShares, aRequest);
  std::shared_ptr<TargetState> best;
  double bestSeconds = std::numeric_limits<double>::max();
  double bestSecondsUnshed = 0;
  double homeSecondsUnshed = 0;
  auto reason = SelectionReason::Planned;
  size_t compared = 0;
  for (const auto& it : ranked) {
    const bool isHome = &it == &ranked.front();
    if (it.mTarget->IsPaused(aNow) || IsClosed(aRequest, *it.mTarget, aNow)) {
      if (isHome) {
        reason = SelectionReason::Unavailable;
      }
      continue;
    }
    const auto& target = *it.mTarget;
    const double runSeconds =
      target.RunTime() ? ToSeconds(*target.RunTime()) : kAssumedRunSeconds;
    const double rounds = std::max(1.0,
                                   (target.EstimatedLoad(aNow) + 1) /
                                     std::max(1U, target.Record().mSlots));
    const double secondsUnshed =
      ToSeconds(target.RoundTrip()) +
      runSeconds * (rounds + (compared == 0 ? 0 : kColdRunFactor - 1));
    const double seconds = secondsUnshed * (1 + 2 * target.ShedShare(aNow));
    if (isHome) {
      homeSecondsUnshed = secondsUnshed;
    }
    if (seconds < bestSeconds) {
      if (!target.IsCold(aNow) || aMayUseCold(target)) {
        best = it.mTarget;
        bestSeconds = seconds;
        bestSecondsUnshed = secondsUnshed;
      } else if (isHome) {
        reason = SelectionReason::ColdLimit;
      }
    }
    if (++compared >= kComparedCandidates && best) {
      break;
    }
  }
  if (!aRequest.mTried.empty()) {
    reason = SelectionReason::Retry;
  } else if (reason == SelectionReason::Planned && best &&
             best != ranked.front().mTarget) {
    reason = bestSecondsUnshed < homeSecondsUnshed
               ? SelectionReason::Queue
               : SelectionReason::Rejections;
  }
  return { std::move(best), reason };
}

} // namespace pollenway
