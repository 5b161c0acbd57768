#include "InventoryEdit.h"

#include "JsonParse.h"

#include <algorithm>
#include <cmath>

namespace pollenway {

namespace {

// Shares are sums of decimal steps; the tolerance absorbs the rounding of
// binary floating point.
constexpr double kShareTolerance = 1e-9;

template<typename Element, typename Id>
Element* FindNamed(std::vector<Element>& aElements, const Id& aName)
{
  const auto it =
    std::find_if(aElements.begin(), aElements.end(), [&](const auto& aElement) {
      return aElement.mName == aName;
    });
  return it == aElements.end() ? nullptr : &*it;
}

Error Fail(ResultCode aCode, std::string aDetail)
{
  return Error{ aCode, std::move(aDetail), {} };
}

template<typename Id>
Error NotFoundError(const char* aKind, const Id& aName)
{
  return Fail(ResultCode::NotFound,
              std::string("there is no ") + aKind + " " + Quoted(aName.Text()));
}

template<typename Element, typename Id>
std::optional<Error> SetState(std::vector<Element>& aElements,
                              const char* aKind,
                              const Id& aName,
                              Lifecycle aState)
{
  Element* element = FindNamed(aElements, aName);
  if (!element) {
    return NotFoundError(aKind, aName);
  }
  if (element->mState == Lifecycle::Retired) {
    return Fail(ResultCode::InvalidState,
                std::string(aKind) + " " + Quoted(aName.Text()) +
                  " is retired");
  }
  element->mState = aState;
  return std::nullopt;
}

Error ShiftStateError(const ShiftDeclaration& aShift, const char* aNeeded)
{
  return Fail(ResultCode::InvalidState,
              "shift " + Quoted(aShift.mName.Text()) + " is not " + aNeeded);
}

double SumWorkspaceRates(const Inventory& aInventory)
{
  double sum = 0;
  for (const auto& it : aInventory.mWorkspaces) {
    sum += it.mRate;
  }
  return sum;
}

} // namespace

const ShiftDeclaration* FindShift(const Inventory& aInventory,
                                  const ShiftName& aName)
{
  for (const auto& it : aInventory.mShifts) {
    if (it.mName == aName) {
      return &it;
    }
  }
  return nullptr;
}

Result<Inventory> InventoryEdit::SetTargetState(Inventory aInventory,
                                                const TargetName& aName,
                                                Lifecycle aState)
{
  if (auto error = SetState(aInventory.mTargets, "target", aName, aState)) {
    return *error;
  }
  return aInventory;
}

Result<Inventory> InventoryEdit::SetPlaceState(Inventory aInventory,
                                               const PlaceName& aName,
                                               Lifecycle aState)
{
  if (auto error = SetState(aInventory.mPlaces, "place", aName, aState)) {
    return *error;
  }
  return aInventory;
}

Result<Inventory> InventoryEdit::RetirePlace(Inventory aInventory,
                                             const PlaceName& aName,
                                             const PlaceName& aSuccessor)
{
  Place* place = FindNamed(aInventory.mPlaces, aName);
  if (!place) {
    return NotFoundError("place", aName);
  }
  if (!FindNamed(aInventory.mPlaces, aSuccessor)) {
    return NotFoundError("place", aSuccessor);
  }
  if (place->mState == Lifecycle::Live) {
    return Fail(
      ResultCode::InvalidState,
      "place " + Quoted(aName.Text()) +
        " is in service; drain it and wait for its work to finish first");
  }
  place->mState = Lifecycle::Retired;
  place->mSuccessor = aSuccessor;
  for (auto& it : aInventory.mTargets) {
    if (it.mPlace == aName) {
      it.mState = Lifecycle::Retired;
    }
  }
  if (!aInventory.ResolvePlace(aName)) {
    return Fail(ResultCode::InvalidState,
                "successor " + Quoted(aSuccessor.Text()) +
                  " does not lead to a place that is in service");
  }
  return aInventory;
}

Result<Inventory> InventoryEdit::StartShift(Inventory aInventory,
                                            ShiftDeclaration aShift)
{
  if (!aInventory.FindService(aShift.mService)) {
    return NotFoundError("service", aShift.mService);
  }
  for (const auto& it : { aShift.mFrom, aShift.mTo }) {
    if (!aInventory.FindRegion(it)) {
      return NotFoundError("region", it);
    }
  }
  aShift.mShare = 0;
  aShift.mState = ShiftState::Running;
  aShift.mReason.clear();
  ShiftDeclaration* old = FindNamed(aInventory.mShifts, aShift.mName);
  if (old && old->mState != ShiftState::RolledBack) {
    return Fail(ResultCode::Duplicate,
                "shift " + Quoted(aShift.mName.Text()) +
                  " already exists and is not rolled back");
  }
  if (old) {
    *old = std::move(aShift);
  } else {
    aInventory.mShifts.push_back(std::move(aShift));
  }
  return aInventory;
}

Result<Inventory> InventoryEdit::PauseShift(Inventory aInventory,
                                            const ShiftName& aName)
{
  ShiftDeclaration* shift = FindNamed(aInventory.mShifts, aName);
  if (!shift) {
    return NotFoundError("shift", aName);
  }
  if (shift->mState == ShiftState::Paused) {
    return aInventory;
  }
  if (shift->mState != ShiftState::Running) {
    return ShiftStateError(*shift, "running");
  }
  shift->mState = ShiftState::Paused;
  shift->mReason.clear();
  return aInventory;
}

Result<Inventory> InventoryEdit::ResumeShift(Inventory aInventory,
                                             const ShiftName& aName)
{
  ShiftDeclaration* shift = FindNamed(aInventory.mShifts, aName);
  if (!shift) {
    return NotFoundError("shift", aName);
  }
  if (shift->mState == ShiftState::Running) {
    return aInventory;
  }
  if (shift->mState != ShiftState::Paused) {
    return ShiftStateError(*shift, "paused");
  }
  shift->mState = ShiftState::Running;
  shift->mReason.clear();
  return aInventory;
}

Result<Inventory> InventoryEdit::RollBackShift(Inventory aInventory,
                                               const ShiftName& aName)
{
  ShiftDeclaration* shift = FindNamed(aInventory.mShifts, aName);
  if (!shift) {
    return NotFoundError("shift", aName);
  }
  shift->mShare = 0;
  shift->mState = ShiftState::RolledBack;
  shift->mReason.clear();
  return aInventory;
}

Result<Inventory> InventoryEdit::AdvanceShift(Inventory aInventory,
                                              const ShiftName& aName,
                                              const Step& aStep)
{
  ShiftDeclaration* shift = FindNamed(aInventory.mShifts, aName);
  if (!shift) {
    return NotFoundError("shift", aName);
  }
  if (shift->mState != ShiftState::Running) {
    return ShiftStateError(*shift, "running");
  }
  const double step = aStep.mShare.value_or(shift->mStepCap);
  // The negated comparison also rejects NaN.
  if (!(step > 0 && step <= shift->mStepCap + kShareTolerance)) {
    return Fail(ResultCode::OutOfRange,
                "a step must be above 0 and at most the step cap of " +
                  std::to_string(shift->mStepCap));
  }
  double share = shift->mShare + step;
  if (share >= shift->mFinalShare - kShareTolerance) {
    share = shift->mFinalShare;
    shift->mState = ShiftState::Done;
  }
  const double demand = aStep.mDemand.value_or(SumWorkspaceRates(aInventory));
  if (!(demand >= 0 && share * demand <= shift->mRateCap + kShareTolerance)) {
    return Fail(ResultCode::OutOfRange,
                "a share of " + std::to_string(share) + " of " +
                  std::to_string(demand) +
                  " requests/s exceeds the rate cap of " +
                  std::to_string(shift->mRateCap));
  }
  shift->mShare = share;
  return aInventory;
}

Result<Inventory> InventoryEdit::IssueKey(Inventory aInventory, TenantKey aKey)
{
  if (!aInventory.FindWorkspace(aKey.mWorkspace)) {
    return NotFoundError("workspace", aKey.mWorkspace);
  }
  for (const auto& it : aInventory.mKeys) {
    if (it.mId == aKey.mId || it.mDigest == aKey.mDigest) {
      return Fail(ResultCode::Duplicate,
                  "key " + Quoted(it.mId.Text()) + " already exists");
    }
  }
  aInventory.mKeys.push_back(std::move(aKey));
  return aInventory;
}

Result<Inventory> InventoryEdit::WithdrawKey(Inventory aInventory,
                                             const KeyId& aKey)
{
  for (auto& it : aInventory.mKeys) {
    if (it.mId == aKey) {
      it.mWithdrawn = true;
      return aInventory;
    }
  }
  return NotFoundError("key", aKey);
}

} // namespace pollenway
