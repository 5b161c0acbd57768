#include "TargetTable.h"

#include <algorithm>

namespace pollenway {

TargetTable::TargetTable(const std::map<ZoneName, RegionName>& aRegionOf)
  : mRegionOf(aRegionOf)
{
}

bool TargetTable::AcceptRecord(const RegisteredTarget& aRecord, TimePoint aNow)
{
  const bool isKnown = mNewestRecords.HasOutdated(aRecord.mName);
  if (mNewestRecords.Accept(aRecord, aNow)) {
    return true;
  }
  const auto newest = mNewestRecords.Find(aRecord.mName);
  const bool isInUse = mByName.contains(aRecord.mName) &&
                       newest->mStartedAtMs == aRecord.mStartedAtMs;
  if (mOnOutdated && !isKnown && !isInUse && !aRecord.mDraining) {
    mOnOutdated(aRecord, *newest);
  }
  return false;
}

void TargetTable::Put(RegisteredTarget aRecord,
                      TimePoint aNow,
                      Duration aColdStart)
{
  const TargetName name = aRecord.mName;
  if (!AcceptRecord(aRecord, aNow)) {
    return;
  }
  mKeptUntil.erase(name);
  const auto it = mByName.find(name);
  if (it != mByName.end()) {
    const auto& known = it->second->Record();
    const bool isSameIncarnation = known.mStartedAtMs == aRecord.mStartedAtMs &&
                                   known.mService == aRecord.mService &&
                                   known.mAddress == aRecord.mAddress &&
                                   known.mPort == aRecord.mPort;
    if (isSameIncarnation && !aRecord.mDraining) {
      it->second->Update(std::move(aRecord), aNow, aColdStart);
      return;
    }
    Erase(name);
  }
  if (aRecord.mDraining) {
    mNewestRecords.OnDraining(name, aNow);
    return;
  }
  const auto region = mRegionOf.find(aRecord.mZone);
  auto state = std::make_shared<TargetState>(
    aRecord, region == mRegionOf.end() ? RegionName() : region->second);
  state->Update(std::move(aRecord), aNow, aColdStart);
  mByService[state->Record().mService].push_back(state);
  mByName.emplace(name, std::move(state));
}

void TargetTable::Remove(const TargetName& aName,
                         TimePoint aNow,
                         TimePoint aKeepUntil)
{
  mNewestRecords.DropOutdated(aName, aNow);
  if (aKeepUntil > aNow && mByName.contains(aName)) {
    mKeptUntil.try_emplace(aName, aKeepUntil);
    return;
  }
  Erase(aName);
  mNewestRecords.OnRemoved(aName, aNow);
}

void TargetTable::RetainOnly(const std::set<TargetName>& aNames,
                             TimePoint aNow,
                             TimePoint aKeepUntil)
{
  mNewestRecords.RetainOutdated(aNames, aNow);
  std::vector<TargetName> missing;
  for (const auto& [name, state] : mByName) {
    if (!aNames.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const auto& it : missing) {
    Remove(it, aNow, aKeepUntil);
  }
}

std::vector<TargetName> TargetTable::Expire(TimePoint aNow)
{
  std::vector<TargetName> expired;
  for (const auto& [name, until] : mKeptUntil) {
    if (until <= aNow) {
      expired.push_back(name);
    }
  }
  for (const auto& it : expired) {
    Erase(it);
    mNewestRecords.OnRemoved(it, aNow);
  }
  std::vector<TargetName> renewed;
  for (auto& it : mNewestRecords.Expire(aNow)) {
    renewed.push_back(it.mName);
    it.mColdRemaining = std::max(
      Duration::zero(), it.mColdRemaining - NewestTargetRecords::kRenewalTime);
    Put(std::move(it), aNow, {});
  }
  return renewed;
}

std::shared_ptr<TargetState> TargetTable::Find(const TargetName& aName) const
{
  const auto it = mByName.find(aName);
  return it == mByName.end() ? nullptr : it->second;
}

const TargetTable::Targets& TargetTable::OfService(
  const ServiceName& aService) const
{
  static const Targets kNone;
  const auto it = mByService.find(aService);
  return it == mByService.end() ? kNone : it->second;
}

std::vector<ServiceName> TargetTable::Services() const
{
  std::vector<ServiceName> out;
  for (const auto& [service, targets] : mByService) {
    out.push_back(service);
  }
  return out;
}

void TargetTable::Erase(const TargetName& aName)
{
  mKeptUntil.erase(aName);
  const auto it = mByName.find(aName);
  if (it == mByName.end()) {
    return;
  }
  const auto state = it->second;
  mByName.erase(it);
  std::erase(mByService[state->Record().mService], state);
  if (mOnRemoved) {
    mOnRemoved(state->Record());
  }
}

} // namespace pollenway
