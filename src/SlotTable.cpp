#include "SlotTable.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

SlotTable::Entry* SlotTable::Find(const TargetName& aTarget)
{
  auto it = mTargets.find(aTarget);
  return it == mTargets.end() ? nullptr : &it->second;
}

const SlotTable::Entry* SlotTable::Find(const TargetName& aTarget) const
{
  auto it = mTargets.find(aTarget);
  return it == mTargets.end() ? nullptr : &it->second;
}

unsigned SlotTable::FormerSlots(const Entry& aEntry)
{
  unsigned n = 0;
  for (const auto& it : aEntry.mUses) {
    n += it.mSlots;
  }
  return n;
}

unsigned SlotTable::FormerConnections(const Entry& aEntry)
{
  unsigned n = 0;
  for (const auto& it : aEntry.mUses) {
    n += it.mConnections;
  }
  return n;
}

void SlotTable::RemoveExpired(Entry& aEntry, TimePoint aNow)
{
  std::erase_if(aEntry.mUses, [aNow](const Use& aUse) {
    return (aUse.mExpiresAt && *aUse.mExpiresAt <= aNow) ||
           (aUse.mSlots == 0 && aUse.mConnections == 0);
  });
}

void SlotTable::RemoveIfUnused(const TargetName& aTarget)
{
  auto it = mTargets.find(aTarget);
  if (it != mTargets.end() && !it->second.mIsOwned &&
      it->second.mTickets.empty() && it->second.mOpenConnections == 0) {
    mTargets.erase(it);
  }
}

void SlotTable::SetTarget(const TargetName& aTarget, const SlotLimits& aLimits)
{
  auto& entry = mTargets[aTarget];
  if (!entry.mIsOwned) {
    entry.mIsOwned = true;
    entry.mIsAwaitingHandover = true;
    entry.mReportedDraining = false;
  }
  entry.mLimits = aLimits;
}

void SlotTable::TakeOverUnowned(const TargetName& aTarget)
{
  if (auto* entry = Find(aTarget)) {
    entry->mIsAwaitingHandover = false;
  }
}

SlotHandover SlotTable::ReleaseOwnership(const TargetName& aTarget,
                                         const InstanceName& aSelf,
                                         TimePoint aNow)
{
  SlotHandover out{ .mTarget = aTarget };
  auto* entry = Find(aTarget);
  if (!entry || !entry->mIsOwned) {
    return out;
  }
  RemoveExpired(*entry, aNow);
  out.mDraining = entry->mReportedDraining;
  if (!entry->mTickets.empty() || entry->mOpenConnections > 0) {
    out.mUses.push_back({ .mOwner = aSelf,
                          .mSlots = unsigned(entry->mTickets.size()),
                          .mConnections = entry->mOpenConnections });
  }
  if (entry->mIsAwaitingHandover) {
    // This owner never received the use of the previous owner, so it passes on
    // an upper bound.
    out.mUses.push_back({ .mOwner = InstanceName(),
                          .mSlots = entry->mLimits.mSlots,
                          .mConnections = std::min(entry->mLimits.mSlots,
                                                   entry->mLimits.mConnections),
                          .mRemainingTime = entry->mLimits.mTimeout });
  }
  for (const auto& it : entry->mUses) {
    out.mUses.push_back({ .mOwner = it.mOwner,
                          .mSlots = it.mSlots,
                          .mConnections = it.mConnections,
                          .mRemainingTime = it.mExpiresAt
                                              ? *it.mExpiresAt - aNow
                                              : Duration(-1) });
  }
  entry->mIsOwned = false;
  entry->mIsAwaitingHandover = false;
  entry->mUses.clear();
  RemoveIfUnused(aTarget);
  return out;
}

void SlotTable::TakeOver(const SlotHandover& aHandover,
                         const InstanceName& aSelf,
                         TimePoint aNow)
{
  auto* entry = Find(aHandover.mTarget);
  if (!entry || !entry->mIsOwned) {
    return;
  }
  entry->mIsAwaitingHandover = false;
  entry->mReportedDraining = entry->mReportedDraining || aHandover.mDraining;
  std::vector<Use> uses;
  for (const auto& it : aHandover.mUses) {
    Use use{ .mOwner = it.mOwner,
             .mSlots = it.mSlots,
             .mConnections = it.mConnections,
             .mStartedAt = aNow };
    if (it.mRemainingTime >= Duration::zero()) {
      use.mExpiresAt = aNow + it.mRemainingTime;
    }
    if (it.mOwner == aSelf) {
      // Use that the tickets don't cover belongs to an earlier incarnation of
      // this instance, which has ended.
      const auto own = unsigned(entry->mTickets.size());
      use.mOwner = InstanceName();
      use.mSlots -= std::min(use.mSlots, own);
      use.mConnections -= std::min(use.mConnections, entry->mOpenConnections);
      use.mExpiresAt = aNow + entry->mLimits.mTimeout;
    }
    auto same = std::find_if(uses.begin(), uses.end(), [&](const Use& aUse) {
      return aUse.mOwner == use.mOwner;
    });
    if (same == uses.end()) {
      uses.push_back(std::move(use));
    } else {
      // Adds up the use of several owners that have ended.
      same->mSlots += use.mSlots;
      same->mConnections += use.mConnections;
      same->mExpiresAt = std::max(same->mExpiresAt, use.mExpiresAt);
    }
  }
  for (auto& use : uses) {
    auto known =
      std::find_if(entry->mUses.begin(),
                   entry->mUses.end(),
                   [&](const Use& aUse) { return aUse.mOwner == use.mOwner; });
    if (known == entry->mUses.end()) {
      entry->mUses.push_back(std::move(use));
    } else if (!use.mOwner.IsEmpty()) {
      known->mSlots = std::min(known->mSlots, use.mSlots);
      known->mConnections = std::min(known->mConnections, use.mConnections);
    } else {
      known->mSlots = std::max(known->mSlots, use.mSlots);
      known->mConnections = std::max(known->mConnections, use.mConnections);
      known->mExpiresAt = std::max(known->mExpiresAt, use.mExpiresAt);
    }
  }
}

void SlotTable::TakeOverFromEvicted(const TargetName& aTarget, TimePoint aNow)
{
  auto* entry = Find(aTarget);
  if (!entry || !entry->mIsOwned) {
    return;
  }
  entry->mIsAwaitingHandover = false;
  const auto& limits = entry->mLimits;
  const unsigned remainingSlots =
    limits.mSlots - std::min(limits.mSlots, FormerSlots(*entry));
  const unsigned connections = std::min(limits.mSlots, limits.mConnections);
  entry->mUses.push_back({ .mOwner = InstanceName(),
                           .mSlots = remainingSlots,
                           .mConnections = connections,
                           .mExpiresAt = aNow + limits.mTimeout,
                           .mStartedAt = aNow });
  entry->mMinInFlight = unsigned(entry->mTickets.size());
}

void SlotTable::OnFormerOwnerReport(const TargetName& aTarget,
                                    const InstanceName& aOwner,
                                    unsigned aSlots,
                                    unsigned aConnections)
{
  auto* entry = Find(aTarget);
  if (!entry) {
    return;
  }
  for (auto& it : entry->mUses) {
    if (it.mOwner == aOwner && !aOwner.IsEmpty()) {
      it.mSlots = std::min(it.mSlots, aSlots);
      it.mConnections = std::min(it.mConnections, aConnections);
    }
  }
}

void SlotTable::OnFormerOwnerDied(const InstanceName& aOwner, TimePoint aNow)
{
  for (auto& [name, entry] : mTargets) {
    for (auto& it : entry.mUses) {
      if (it.mOwner == aOwner && !aOwner.IsEmpty()) {
        it.mOwner = InstanceName();
        it.mExpiresAt = aNow + entry.mLimits.mTimeout;
        it.mStartedAt = aNow;
        it.mLastFormerLoad.reset();
      }
    }
  }
}

void SlotTable::OnLoadReport(const TargetName& aTarget,
                             unsigned aLoad,
                             TimePoint aProbeSentAt,
                             TimePoint aNow)
{
  auto* entry = Find(aTarget);
  if (!entry) {
    return;
  }
  RemoveExpired(*entry, aNow);
  // Requests that this owner had in flight during the whole interval can't be
  // the former owner's; any other request may be.
  unsigned former = aLoad - std::min(aLoad, entry->mMinInFlight);
  for (auto& it : entry->mUses) {
    if (!it.mOwner.IsEmpty() || aProbeSentAt <= it.mStartedAt) {
      continue;
    }
    if (it.mLastFormerLoad) {
      const unsigned bound = std::max(*it.mLastFormerLoad, former);
      it.mSlots = std::min(it.mSlots, bound);
      it.mConnections = std::min(it.mConnections, bound);
    }
    it.mLastFormerLoad = former;
  }
  entry->mMinInFlight = unsigned(entry->mTickets.size());
  RemoveExpired(*entry, aNow);
}

void SlotTable::SetReportedDraining(const TargetName& aTarget, bool aDraining)
{
  if (auto* entry = Find(aTarget)) {
    entry->mReportedDraining = aDraining;
  }
}

SlotState SlotTable::State(const TargetName& aTarget, TimePoint aNow)
{
  auto* entry = Find(aTarget);
  if (!entry || !entry->mIsOwned) {
    return SlotState::NotOwned;
  }
  if (entry->mLimits.mState != Lifecycle::Live || entry->mReportedDraining) {
    return SlotState::Draining;
  }
  if (entry->mIsAwaitingHandover) {
    return SlotState::AwaitingHandover;
  }
  RemoveExpired(*entry, aNow);
  return entry->mTickets.size() + FormerSlots(*entry) < entry->mLimits.mSlots
           ? SlotState::Free
           : SlotState::Full;
}

std::optional<SlotTicket> SlotTable::Acquire(const TargetName& aTarget,
                                             TimePoint aNow)
{
  if (State(aTarget, aNow) != SlotState::Free) {
    return std::nullopt;
  }
  auto& entry = *Find(aTarget);
  const uint64_t number = mNextTicket++;
  entry.mTickets.insert(number);
  POLLENWAY_ASSERT(entry.mTickets.size() + FormerSlots(entry) <=
                     entry.mLimits.mSlots,
                   "more requests than the target has slots");
  return SlotTicket{ .mTarget = aTarget, .mNumber = number };
}

bool SlotTable::Release(const SlotTicket& aTicket)
{
  auto* entry = Find(aTicket.mTarget);
  if (!entry || entry->mTickets.erase(aTicket.mNumber) == 0) {
    return false;
  }
  entry->mMinInFlight =
    std::min(entry->mMinInFlight, unsigned(entry->mTickets.size()));
  RemoveIfUnused(aTicket.mTarget);
  return true;
}

bool SlotTable::OpenConnection(const TargetName& aTarget, TimePoint aNow)
{
  auto* entry = Find(aTarget);
  if (!entry || !entry->mIsOwned) {
    return false;
  }
  RemoveExpired(*entry, aNow);
  if (entry->mIsAwaitingHandover ||
      entry->mOpenConnections >= entry->mLimits.mSlots ||
      entry->mOpenConnections + FormerConnections(*entry) >=
        entry->mLimits.mConnections) {
    return false;
  }
  ++entry->mOpenConnections;
  POLLENWAY_ASSERT(entry->mOpenConnections + FormerConnections(*entry) <=
                     entry->mLimits.mConnections,
                   "more connections than the target accepts");
  return true;
}

void SlotTable::CloseConnection(const TargetName& aTarget)
{
  auto* entry = Find(aTarget);
  POLLENWAY_ASSERT(entry && entry->mOpenConnections > 0,
                   "a connection is closed that was not counted");
  --entry->mOpenConnections;
  RemoveIfUnused(aTarget);
}

unsigned SlotTable::InFlight(const TargetName& aTarget) const
{
  const auto* entry = Find(aTarget);
  return entry ? unsigned(entry->mTickets.size()) : 0;
}

unsigned SlotTable::Connections(const TargetName& aTarget) const
{
  const auto* entry = Find(aTarget);
  return entry ? entry->mOpenConnections : 0;
}

unsigned SlotTable::OccupiedSlots(const TargetName& aTarget, TimePoint aNow)
{
  auto* entry = Find(aTarget);
  if (!entry) {
    return 0;
  }
  RemoveExpired(*entry, aNow);
  return unsigned(entry->mTickets.size()) + FormerSlots(*entry);
}

std::optional<TimePoint> SlotTable::NextExpiry() const
{
  std::optional<TimePoint> next;
  for (const auto& [name, entry] : mTargets) {
    for (const auto& it : entry.mUses) {
      if (it.mExpiresAt && (!next || *it.mExpiresAt < *next)) {
        next = it.mExpiresAt;
      }
    }
  }
  return next;
}

} // namespace pollenway
