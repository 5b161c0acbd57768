#include "InventoryMerge.h"

#include "InventoryEdit.h"
#include "InventoryRules.h"
#include "JsonParse.h"

#include <algorithm>

namespace pollenway {

namespace {

void MergePlaces(const Inventory& aCurrent, Inventory& aFile)
{
  for (auto& it : aFile.mPlaces) {
    const Place* old = aCurrent.FindPlace(it.mName);
    if (!old) {
      continue;
    }
    it.mState = std::max(it.mState, old->mState);
    if (it.mState == Lifecycle::Retired && it.mSuccessor.IsEmpty()) {
      it.mSuccessor = old->mSuccessor;
    }
  }
}

void MergeTargets(const Inventory& aCurrent, Inventory& aFile)
{
  for (auto& it : aFile.mTargets) {
    if (const Target* old = aCurrent.FindTarget(it.mName)) {
      it.mState = std::max(it.mState, old->mState);
    }
  }
}

void MergeKeys(const Inventory& aCurrent,
               Inventory& aFile,
               InventoryMerge::Unlisted aUnlisted)
{
  for (const auto& old : aCurrent.mKeys) {
    const auto listed =
      std::find_if(aFile.mKeys.begin(),
                   aFile.mKeys.end(),
                   [&](const auto& aKey) { return aKey.mId == old.mId; });
    if (listed != aFile.mKeys.end()) {
      listed->mWithdrawn = listed->mWithdrawn || old.mWithdrawn;
    } else if (aUnlisted == InventoryMerge::Unlisted::Keep &&
               aFile.FindWorkspace(old.mWorkspace)) {
      aFile.mKeys.push_back(old);
    }
  }
}

bool HasSameServiceAndRegions(const ShiftDeclaration& aLeft,
                              const ShiftDeclaration& aRight)
{
  return aLeft.mService == aRight.mService && aLeft.mFrom == aRight.mFrom &&
         aLeft.mTo == aRight.mTo;
}

void MergeShifts(const Inventory& aCurrent,
                 Inventory& aFile,
                 InventoryMerge::Unlisted aUnlisted,
                 std::vector<Error>& aErrors)
{
  for (size_t n = 0; n < aFile.mShifts.size(); ++n) {
    ShiftDeclaration& it = aFile.mShifts[n];
    const std::string path = "/shifts/" + std::to_string(n);
    const ShiftDeclaration* old = FindShift(aCurrent, it.mName);
    if (!old) {
      if (it.mShare > it.mStepCap) {
        aErrors.push_back({ ResultCode::OutOfRange,
                            "a new shift can't start above its step cap",
                            path + "/share" });
      }
      continue;
    }
    if (old->mShare > 0 && !HasSameServiceAndRegions(it, *old)) {
      aErrors.push_back({ ResultCode::InvalidState,
                          "shift " + Quoted(it.mName.Text()) +
                            " has moved callers; roll it back before "
                            "changing its service or regions",
                          path });
    }
    it.mShare = old->mShare;
    it.mState = old->mState;
    it.mReason = old->mReason;
  }
  for (const auto& old : aCurrent.mShifts) {
    const bool isKept =
      aUnlisted == InventoryMerge::Unlisted::Keep || old.mShare > 0;
    if (isKept && !FindShift(aFile, old.mName)) {
      aFile.mShifts.push_back(old);
    }
  }
}

} // namespace

Validated<Inventory> InventoryMerge::Merge(const Inventory& aCurrent,
                                           Inventory aFile,
                                           Unlisted aUnlisted)
{
  std::vector<Error> errors;
  aFile.mGeneration = aCurrent.mGeneration;
  MergePlaces(aCurrent, aFile);
  MergeTargets(aCurrent, aFile);
  MergeKeys(aCurrent, aFile, aUnlisted);
  MergeShifts(aCurrent, aFile, aUnlisted, errors);
  for (auto& it : CheckInventoryRules(aFile)) {
    errors.push_back(std::move(it));
  }
  if (!errors.empty()) {
    return errors;
  }
  return aFile;
}

} // namespace pollenway
