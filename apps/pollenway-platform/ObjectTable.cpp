#include "ObjectTable.h"

#include <algorithm>
#include <set>

namespace pollenway {

const ObjectTable::Object* ObjectTable::Get(const std::string& aKind,
                                            const std::string& aName) const
{
  const auto& objects = List(aKind);
  const auto it = objects.find(aName);
  return it == objects.end() ? nullptr : &it->second;
}

const ObjectTable::Objects& ObjectTable::List(const std::string& aKind) const
{
  static const Objects kNone;
  const auto it = mKinds.find(aKind);
  return it == mKinds.end() ? kNone : it->second;
}

std::optional<Error> ObjectTable::Check(const Object* aObject,
                                        const Condition& aCondition) const
{
  if (aCondition.mAbsent && aObject) {
    return Error{ ResultCode::Conflict, "the object already exists", {} };
  }
  if (aCondition.mVersion && !aObject) {
    return Error{ ResultCode::Conflict, "the object does not exist", {} };
  }
  if (aCondition.mVersion && *aCondition.mVersion != 0 &&
      *aCondition.mVersion != aObject->mVersion) {
    return Error{ ResultCode::Conflict,
                  "the object has version " + std::to_string(aObject->mVersion),
                  {} };
  }
  return std::nullopt;
}

Result<uint64_t> ObjectTable::Put(const std::string& aKind,
                                  const std::string& aName,
                                  std::string aValue,
                                  const Condition& aCondition)
{
  if (aValue.size() > kMaxValueBytes) {
    return Error{ ResultCode::TooLarge, "the value is larger than 1 MiB", {} };
  }
  if (auto error = Check(Get(aKind, aName), aCondition)) {
    return *error;
  }
  ObjectChange change;
  change.mVersion = mRevision + 1;
  change.mKind = aKind;
  change.mName = aName;
  change.mValue = std::make_shared<const std::string>(std::move(aValue));
  Apply(change);
  return mRevision;
}

Result<uint64_t> ObjectTable::Delete(const std::string& aKind,
                                     const std::string& aName,
                                     const Condition& aCondition)
{
  const Object* const object = Get(aKind, aName);
  if (auto error = Check(object, aCondition)) {
    return *error;
  }
  if (!object) {
    return Error{ ResultCode::NotFound, "the object does not exist", {} };
  }
  ObjectChange change;
  change.mVersion = mRevision + 1;
  change.mKind = aKind;
  change.mName = aName;
  Apply(change);
  return mRevision;
}

void ObjectTable::Apply(const ObjectChange& aChange)
{
  mRevision = aChange.mVersion;
  if (aChange.mValue) {
    mKinds[aChange.mKind][aChange.mName] = { aChange.mVersion, aChange.mValue };
  } else {
    mKinds[aChange.mKind].erase(aChange.mName);
  }
  mHistory.push_back(aChange);
  if (mHistory.size() > mHistoryLimit) {
    mHistory.pop_front();
  }
}

Result<std::vector<ObjectChange>> ObjectTable::ChangesAfter(
  uint64_t aAfter,
  const std::string& aKind) const
{
  const uint64_t oldest =
    mHistory.empty() ? mRevision : mHistory.front().mVersion - 1;
  if (aAfter < oldest || aAfter > mRevision) {
    return Error{ ResultCode::NotFound,
                  "no history after revision " + std::to_string(aAfter),
                  {} };
  }
  std::vector<ObjectChange> changes;
  std::set<std::pair<std::string_view, std::string_view>> seen;
  for (auto it = mHistory.rbegin();
       it != mHistory.rend() && it->mVersion > aAfter;
       ++it) {
    if ((aKind.empty() || it->mKind == aKind) &&
        seen.emplace(it->mKind, it->mName).second) {
      changes.push_back(*it);
    }
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

} // namespace pollenway
