#include "LookupPolicy.h"

#include "MixHash.h"
#include "TrafficShift.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <unordered_map>

namespace pollenway {

namespace {

constexpr size_t kNone = ZoneNumbering::kNone;
constexpr size_t kMaxInstances = 3;
/// Older summaries of peers are ignored when admission shares are decided.
constexpr Duration kMaxSummaryAge = std::chrono::seconds(3);
/// Interval at which the hash that decides a block's admission changes, so that
/// no block is refused permanently.
constexpr Duration kRefusalRotationInterval = std::chrono::minutes(5);
constexpr Duration kAssignedHalfLife = std::chrono::seconds(5);
constexpr double kMaxLoadScaleExponent = 200;
/// Slack of an instance's load bound, in answers. Without it, the first answers
/// after a start would all exceed the bound.
constexpr double kBoundSlackAnswers = 4;
constexpr unsigned kDefaultV4Length = 24;
constexpr unsigned kDefaultV6Length = 48;

constexpr unsigned kWeights[kMaxInstances][kMaxInstances] = { { 100, 0, 0 },
                                                              { 70, 30, 0 },
                                                              { 60, 20, 20 } };

/// Returns false for values that a correct peer never sends.
bool IsRate(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

std::string Hex(uint64_t aValue)
{
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016llx", (unsigned long long)aValue);
  return buf;
}

} // namespace

LookupPolicy::LookupPolicy(LookupOptions aOptions,
                           const ClientBlockTable& aBlocks,
                           HeadroomTracker& aHeadroom)
  : mOptions(std::move(aOptions))
  , mBlocks(aBlocks)
  , mHeadroom(aHeadroom)
  , mDemand(mOptions.mDefaultRate)
{
}

void LookupPolicy::SetView(SteeringView aView, TimePoint aNow)
{
  std::unordered_map<uint64_t, double> assigned;
  for (size_t zone = 0; zone < mAssigned.size(); ++zone) {
    const auto& instances = mIndex.InstancesOf(zone);
    for (size_t i = 0; i < instances.size(); ++i) {
      assigned[instances[i].mHash] = mAssigned[zone].mByInstance[i];
    }
  }
  const ZoneNumbering old = mIndex.Numbering();
  if (aView.mInventory != mInventory) {
    mInventory = aView.mInventory;
    mHeadroom.SetInventory(*mInventory, aNow);
  }
  mIndex = SteeringIndex(std::move(aView));
  const ZoneNumbering& numbering = mIndex.Numbering();
  const size_t zone = numbering.FindZone(mOptions.mZone);
  mOwnRegion = zone == kNone ? kNone : numbering.RegionOfZone(zone);
  mOriginRegions.clear();
  mAssigned.assign(numbering.Zones(), {});
  for (size_t i = 0; i < numbering.Zones(); ++i) {
    for (const auto& it : mIndex.InstancesOf(i)) {
      const auto load = assigned.find(it.mHash);
      mAssigned[i].mByInstance.push_back(load == assigned.end() ? 0
                                                                : load->second);
      mAssigned[i].mTotal += mAssigned[i].mByInstance.back();
    }
  }
  std::vector<RegionState> regions(numbering.Regions());
  for (size_t i = 0; i < regions.size(); ++i) {
    const size_t previous = old.FindRegion(numbering.NameOfRegion(i));
    if (previous != kNone) {
      regions[i] = std::move(mRegions[previous]);
    }
  }
  mRegions = std::move(regions);
  UpdateLoadScale(aNow);
}

size_t LookupPolicy::OriginRegion(BlockRegion aRegion)
{
  while (mOriginRegions.size() < mBlocks.Regions().size()) {
    const size_t region =
      mIndex.Numbering().FindRegion(mBlocks.Regions()[mOriginRegions.size()]);
    mOriginRegions.push_back(region == kNone ? mOwnRegion : region);
  }
  return mOriginRegions[size_t(aRegion)];
}

IpPrefix LookupPolicy::BlockOf(const IpAddress& aClient) const
{
  const auto match = mBlocks.Find(aClient);
  if (match) {
    return match->mBlock;
  }
  return { aClient,
           aClient.Family() == IpFamily::V4 ? kDefaultV4Length
                                            : kDefaultV6Length };
}

void LookupPolicy::CountRequest(const IpAddress& aClient, TimePoint aNow)
{
  mDemand.CountRequest(BlockOf(aClient).Hash(), aNow);
}

bool LookupPolicy::Admits(size_t aRegion,
                          uint64_t aBlockHash,
                          bool aIsFirstChoice,
                          bool aIsRotating,
                          TimePoint aNow) const
{
  const AdmissionShare& share = mRegions[aRegion].mShare;
  const double limit = aIsFirstChoice ? share.FirstChoice() : share.Spilled();
  if (limit >= 1) {
    return true;
  }
  uint64_t hash = MixHash(aBlockHash, mIndex.HashOfRegion(aRegion));
  if (aIsRotating) {
    // The offset differs by block, so that few blocks change at the same time.
    const Duration offset = FromSeconds(ToSeconds(kRefusalRotationInterval) *
                                        HashToUnitInterval(aBlockHash));
    const auto n =
      (aNow.time_since_epoch() + offset) / kRefusalRotationInterval;
    hash = MixHash(hash, uint64_t(n));
  }
  return HashToUnitInterval(hash) < limit;
}

LookupDecision LookupPolicy::Decide(const LookupRequest& aRequest,
                                    TimePoint aNow)
{
  LookupDecision out;
  if (mIndex.IsEmpty()) {
    out.mCode = ResultCode::NoConfiguration;
    return out;
  }
  const auto* service = mIndex.FindService(aRequest.mService);
  if (!service) {
    out.mCode = ResultCode::NotFound;
    return out;
  }
  const ZoneNumbering& numbering = mIndex.Numbering();
  const auto addReason =
    [&](LookupReasonKind aKind, size_t aRegion, size_t aZone, double aValue) {
      out.mReasons.push_back(
        { .mKind = aKind,
          .mRegion =
            aRegion == kNone ? RegionName() : numbering.NameOfRegion(aRegion),
          .mZone = aZone == kNone ? ZoneName() : numbering.NameOfZone(aZone),
          .mValue = aValue });
    };
  out.mReasons.reserve(4);
  const auto match = mBlocks.Find(aRequest.mClient);
  const size_t origin = match ? OriginRegion(match->mRegion) : mOwnRegion;
  out.mBlock = match ? match->mBlock : BlockOf(aRequest.mClient);
  addReason(match ? LookupReasonKind::BlockMatched
                  : LookupReasonKind::BlockUnknown,
            origin,
            kNone,
            0);
  if (origin == kNone || service->mOrder[origin].empty()) {
    out.mCode = ResultCode::NoTarget;
    return out;
  }

  const uint64_t blockHash = out.mBlock.Hash();
  const Duration ttl =
    std::min(service->mService->mLookupTtl, mHeadroom.MaxLifetime());
  const double rate = mDemand.RatePerAnswer(blockHash, ttl, aNow);
  const uint64_t key = MixHash(service->mHash, blockHash);

  const auto& order = service->mOrder[origin];
  size_t first = order[0];
  if (first == service->mSuccessor[origin]) {
    addReason(LookupReasonKind::ServedBySuccessor, first, kNone, 0);
  }
  for (const auto& it : service->mShifts) {
    if (it.mFrom == first && !service->mZones[it.mTo].empty() &&
        TrafficShift::IsMoved(*it.mShift,
                              TrafficShift::PositionOf(blockHash, it.mHash))) {
      first = it.mTo;
      addReason(
        LookupReasonKind::MovedByShift, first, kNone, it.mShift->mShare);
    }
  }

  // If no other region admits all spilled blocks, some blocks are refused. In
  // this case the refused set rotates; otherwise a block's region stays the
  // same.
  const bool isRotating =
    std::all_of(order.begin(), order.end(), [&](size_t aRegion) {
      return aRegion == first || mRegions[aRegion].mShare.Spilled() < 1;
    });
  size_t region = first;
  size_t next = 0;
  bool counted = false;
  for (size_t tried = 1; tried <= order.size(); ++tried) {
    RegionState& state = mRegions[region];
    (tried == 1 ? state.mFirstChoice : state.mSpilled).Add(rate, ttl, aNow);
    if (!Admits(region, blockHash, tried == 1, isRotating, aNow)) {
      addReason(LookupReasonKind::NotAdmitted,
                region,
                kNone,
                tried == 1 ? state.mShare.FirstChoice()
                           : state.mShare.Spilled());
    } else {
      const auto& zones = service->mZones[region];
      // Tries the zones in rendezvous order, found by repeated search since a
      // region has few zones.
      uint64_t below = ~0ULL;
      for (size_t n = 0; n < zones.size(); ++n) {
        size_t zone = kNone;
        uint64_t best = 0;
        for (const size_t it : zones) {
          const uint64_t score = MixHash(key, mIndex.HashOfZone(it));
          if (score < below && score >= best) {
            best = score;
            zone = it;
          }
        }
        below = best;
        if (zone == kNone) {
          break;
        }
        if (!counted) {
          mHeadroom.CountDemand(zone, rate, ttl, aNow);
          counted = true;
        }
        if (mHeadroom.TryCommit(zone, rate, ttl, aNow)) {
          out.mRegion = numbering.NameOfRegion(region);
          out.mZone = numbering.NameOfZone(zone);
          out.mTtl = ttl;
          out.mCommittedRate = rate;
          // Refusals are not counted: a refused caller sends no requests, so
          // counting its repeated look-ups would make the estimated rate per
          // answer too low.
          mDemand.CountAnswer(blockHash, aNow);
          addReason(LookupReasonKind::Chosen, region, zone, rate);
          PickInstances(out, aRequest, zone, key, rate, aNow);
          return out;
        }
        addReason(LookupReasonKind::NoZoneHeadroom, region, zone, rate);
      }
    }
    if (next < order.size() && order[next] == first) {
      ++next;
    }
    if (next < order.size()) {
      region = order[next++];
    }
  }
  addReason(LookupReasonKind::Refused, kNone, kNone, rate);
  out.mCode = ResultCode::NoHeadroom;
  // Adds up to half a TTL by block hash, so that refused callers don't retry at
  // the same time.
  out.mRetryAfter =
    ttl + FromSeconds(ToSeconds(ttl) * 0.5 * HashToUnitInterval(blockHash));
  return out;
}

double LookupPolicy::UpdateLoadScale(TimePoint aNow)
{
  if (mLoadScaleOrigin == TimePoint::min()) {
    mLoadScaleOrigin = aNow;
  }
  const double exponent =
    ToSeconds(aNow - mLoadScaleOrigin) / ToSeconds(kAssignedHalfLife);
  if (exponent <= kMaxLoadScaleExponent) {
    return std::exp2(exponent);
  }
  const double factor = std::exp2(-exponent);
  for (auto& zone : mAssigned) {
    zone.mTotal *= factor;
    for (auto& it : zone.mByInstance) {
      it *= factor;
    }
  }
  mLoadScaleOrigin = aNow;
  return 1;
}

const SteeringIndex::Instance* LookupPolicy::FindStandby(
  size_t aZone,
  uint64_t aKey,
  const LookupDecision& aDecision) const
{
  const ZoneNumbering& numbering = mIndex.Numbering();
  const SteeringIndex::Instance* best = nullptr;
  uint64_t bestScore = 0;
  for (const size_t zone : numbering.ZonesOf(numbering.RegionOfZone(aZone))) {
    if (zone == aZone) {
      continue;
    }
    for (const auto& it : mIndex.InstancesOf(zone)) {
      const uint64_t score = MixHash(aKey, it.mHash);
      const bool isNamed =
        std::any_of(aDecision.mInstances.begin(),
                    aDecision.mInstances.end(),
                    [&](const auto& aNamed) {
                      return aNamed.mName == it.mInstance->mName;
                    });
      if (!isNamed && (!best || score > bestScore)) {
        best = &it;
        bestScore = score;
      }
    }
  }
  return best;
}

void LookupPolicy::PickInstances(LookupDecision& aDecision,
                                 const LookupRequest& aRequest,
                                 size_t aZone,
                                 uint64_t aKey,
                                 double aRate,
                                 TimePoint aNow)
{
  const ZoneNumbering& numbering = mIndex.Numbering();
  const double scale = UpdateLoadScale(aNow);
  std::array<Pick, kMaxInstances> picks;
  size_t picked = 0;
  size_t skippedInstances = 0;
  const auto pickFrom = [&](size_t aFromZone, bool aBounded) {
    const auto& instances = mIndex.InstancesOf(aFromZone);
    const AssignedLoad& assigned = mAssigned[aFromZone];
    const double bound =
      mOptions.mLoadBound * assigned.mTotal / double(instances.size()) +
      kBoundSlackAnswers * aRate * scale;
    const uint64_t owner =
      aRequest.mWorkspace.IsEmpty() || aFromZone != aZone
        ? 0
        : mIndex.AccountOwner(aRequest.mWorkspace, aFromZone);
    const size_t start = picked;
    for (size_t i = 0; i < instances.size(); ++i) {
      const auto& it = instances[i];
      if (aBounded && (it.mIsOverloaded || assigned.mByInstance[i] >= bound)) {
        ++skippedInstances;
        continue;
      }
      const uint64_t score =
        owner != 0 && it.mHash == owner ? ~0ULL : MixHash(aKey, it.mHash);
      size_t n = std::min(picked, kMaxInstances - 1);
      if (picked == kMaxInstances && picks[n].mScore >= score) {
        continue;
      }
      for (; n > start && picks[n - 1].mScore < score; --n) {
        picks[n] = picks[n - 1];
      }
      picks[n] = { .mScore = score, .mZone = aFromZone, .mInstance = i };
      picked = std::min(picked + 1, kMaxInstances);
    }
    if (owner != 0 && picked > 0 && picks[0].mScore == ~0ULL) {
      aDecision.mReasons.push_back({ .mKind = LookupReasonKind::AccountOwner,
                                     .mRegion = aDecision.mRegion,
                                     .mZone = aDecision.mZone,
                                     .mValue = 0 });
    }
  };
  pickFrom(aZone, true);
  // Adds instances of the region's other zones if the list is not full; a
  // region has few zones.
  const auto& zones = numbering.ZonesOf(numbering.RegionOfZone(aZone));
  for (size_t i = 0; picked < kMaxInstances && i < zones.size(); ++i) {
    if (zones[i] != aZone) {
      pickFrom(zones[i], true);
    }
  }
  for (size_t i = 0; picked == 0 && i < zones.size(); ++i) {
    pickFrom(zones[i], false);
  }
  if (skippedInstances > 0) {
    aDecision.mReasons.push_back({ .mKind = LookupReasonKind::PassedOver,
                                   .mRegion = aDecision.mRegion,
                                   .mZone = aDecision.mZone,
                                   .mValue = double(skippedInstances) });
  }
  uint64_t version =
    MixHash(mIndex.HashOfZone(aZone), uint64_t(aDecision.mTtl.count()));
  aDecision.mInstances.reserve(picked + 1);
  for (size_t i = 0; i < picked; ++i) {
    const Pick& pick = picks[i];
    const auto& it = mIndex.InstancesOf(pick.mZone)[pick.mInstance];
    const unsigned weight = kWeights[picked - 1][i];
    aDecision.mInstances.push_back({ .mName = it.mInstance->mName,
                                     .mAddress = it.mInstance->mAddress,
                                     .mPort = it.mInstance->mPort,
                                     .mWeight = weight });
    const double load = aRate * weight / 100 * scale;
    mAssigned[pick.mZone].mByInstance[pick.mInstance] += load;
    mAssigned[pick.mZone].mTotal += load;
    version = MixHash(version, it.mHash + weight);
  }
  const auto* standby = FindStandby(aZone, aKey, aDecision);
  if (standby) {
    aDecision.mInstances.push_back({ .mName = standby->mInstance->mName,
                                     .mAddress = standby->mInstance->mAddress,
                                     .mPort = standby->mInstance->mPort,
                                     .mWeight = 0 });
    version = MixHash(version, standby->mHash);
  }
  aDecision.mVersion = Hex(version);
}

RegionDemand LookupPolicy::OwnDemand(size_t aRegion, TimePoint aNow)
{
  RegionState& state = mRegions[aRegion];
  RegionDemand out{ .mRegion = mIndex.Numbering().NameOfRegion(aRegion),
                    .mFirstChoice = state.mFirstChoice.Total(aNow),
                    .mSpilled = state.mSpilled.Total(aNow),
                    .mBudget = 0,
                    .mFirstChoiceShare = state.mShare.FirstChoice(),
                    .mSpilledShare = state.mShare.Spilled() };
  for (const size_t zone : mIndex.Numbering().ZonesOf(aRegion)) {
    // Owned headroom only: loans cancel out in the sum over all instances.
    out.mBudget += mHeadroom.Owned(zone, aNow);
  }
  return out;
}

SteeringSummary LookupPolicy::Summary(const InstanceName& aPeer,
                                      bool aForZone,
                                      TimePoint aNow)
{
  SteeringSummary out;
  mHeadroom.FillSummary(out, aPeer, aForZone, aNow);
  for (size_t i = 0; i < mRegions.size(); ++i) {
    out.mRegions.push_back(OwnDemand(i, aNow));
    for (const auto& peer : mPeers) {
      if (aForZone && aNow - peer.second.mLastReceivedAt < kMaxSummaryAge) {
        for (const auto& it : peer.second.mRegions) {
          if (it.mRegion == out.mRegions[i].mRegion) {
            out.mRegions[i].mFirstChoice += it.mFirstChoice;
            out.mRegions[i].mSpilled += it.mSpilled;
            out.mRegions[i].mBudget += it.mBudget;
          }
        }
      }
    }
  }
  return out;
}

void LookupPolicy::OnSummary(const SteeringSummary& aSummary, TimePoint aNow)
{
  mHeadroom.OnSummary(aSummary, aNow);
  PeerDemand& peer = aSummary.mZone == mOptions.mZone
                       ? mPeers[aSummary.mSender.mName]
                       : mOtherZones[aSummary.mZone];
  peer.mRegions.clear();
  for (const auto& it : aSummary.mRegions) {
    if (IsRate(it.mBudget) && IsRate(it.mFirstChoice) && IsRate(it.mSpilled) &&
        IsRate(it.mFirstChoiceShare) && IsRate(it.mSpilledShare)) {
      peer.mRegions.push_back(it);
    }
  }
  peer.mIsReady = aSummary.mIsReady;
  peer.mLastReceivedAt = aNow;
}

const RegionDemand* LookupPolicy::FindDecidingPeer(size_t aRegion,
                                                   TimePoint aNow) const
{
  const ZoneNumbering& numbering = mIndex.Numbering();
  const auto find = [&](const PeerDemand& aPeer) -> const RegionDemand* {
    if (!aPeer.mIsReady || aNow - aPeer.mLastReceivedAt >= kMaxSummaryAge) {
      return nullptr;
    }
    for (const auto& it : aPeer.mRegions) {
      if (it.mRegion == numbering.NameOfRegion(aRegion)) {
        return &it;
      }
    }
    return nullptr;
  };
  for (const size_t zone : numbering.ZonesOf(aRegion)) {
    if (numbering.NameOfZone(zone) != mOptions.mZone) {
      const auto other = mOtherZones.find(numbering.NameOfZone(zone));
      const auto* demand =
        other == mOtherZones.end() ? nullptr : find(other->second);
      if (demand) {
        return demand;
      }
      continue;
    }
    // The first ready member of the zone in name order decides.
    for (const auto& it : mPeers) {
      if (mHeadroom.IsSettled() && mOptions.mSelf < it.first) {
        return nullptr;
      }
      if (const auto* demand = find(it.second)) {
        return demand;
      }
    }
    if (mHeadroom.IsSettled()) {
      return nullptr;
    }
  }
  return nullptr;
}

void LookupPolicy::Tick(TimePoint aNow)
{
  for (size_t i = 0; i < mRegions.size(); ++i) {
    AdmissionShare& share = mRegions[i].mShare;
    if (const auto* peerDemand = FindDecidingPeer(i, aNow)) {
      share.Adopt(
        peerDemand->mFirstChoiceShare, peerDemand->mSpilledShare, aNow);
      continue;
    }
    const RegionDemand own = OwnDemand(i, aNow);
    AdmissionShare::Inputs inputs{ .mBudget = own.mBudget,
                                   .mFirstChoice = own.mFirstChoice,
                                   .mSpilled = own.mSpilled };
    const auto add = [&](const auto& aPeers) {
      for (const auto& peer : aPeers) {
        if (aNow - peer.second.mLastReceivedAt >= kMaxSummaryAge) {
          continue;
        }
        for (const auto& it : peer.second.mRegions) {
          if (it.mRegion == own.mRegion) {
            inputs.mBudget += it.mBudget;
            inputs.mFirstChoice += it.mFirstChoice;
            inputs.mSpilled += it.mSpilled;
          }
        }
      }
    };
    add(mPeers);
    add(mOtherZones);
    share.Update(inputs, aNow);
  }
}

} // namespace pollenway
