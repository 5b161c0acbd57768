#include "InventoryMerge.h"

#include "../InventorySample.h"
#include "InventoryEdit.h"

#include <doctest/doctest.h>

#include <functional>

using namespace pollenway;

namespace {

using Unlisted = InventoryMerge::Unlisted;

Inventory Merge(const Inventory& aCurrent,
                const Inventory& aFile,
                Unlisted aUnlisted = Unlisted::Keep)
{
  auto merged = InventoryMerge::Merge(aCurrent, aFile, aUnlisted);
  REQUIRE(merged);
  return merged.value();
}

} // namespace

// Guards against a file that reverts drains, withdrawals or a shift's progress.
// This would send work to a stopping server, accept a withdrawn key (I3) or
// move callers without regard to the step cap (I1).
TEST_CASE("a file does not undo what commands changed")
{
  const Inventory current = SampleInventory();
  Inventory file = current;
  file.mGeneration = 3;
  for (auto& it : file.mPlaces) {
    it.mState = Lifecycle::Live;
  }
  file.mPlaces[2].mSuccessor = {};
  for (auto& it : file.mTargets) {
    it.mState = Lifecycle::Live;
  }
  for (auto& it : file.mKeys) {
    it.mWithdrawn = false;
  }
  for (auto& it : file.mShifts) {
    it.mShare = 0;
    it.mState = ShiftState::Paused;
    it.mReason.clear();
  }
  CHECK(Merge(current, file) == current);

  file.mKeys.clear();
  file.mShifts.clear();
  CHECK(Merge(current, file) == current);
}

// Guards against a merge that ignores changes in the file.
TEST_CASE("a file changes what it declares")
{
  const Inventory current = SampleInventory();
  Inventory file = current;
  file.mTargets[0].mSlots = 11;
  file.mTargets[0].mState = Lifecycle::Retired;
  file.mWorkspaces[0].mRate = 7;
  file.mShifts[0].mStepCap = 0.01;
  file.mPlaces[2].mSuccessor = PlaceName("p1");
  CHECK(Merge(current, file) == file);
  // Keys of a removed workspace would be invalid.
  file.mWorkspaces.erase(file.mWorkspaces.begin());
  file.mKeys.erase(file.mKeys.begin());
  CHECK(Merge(current, file) == file);
}

// Guards against pruning a shift that has moved callers: all of them would move
// back in one step.
TEST_CASE("pruning keeps shifts with moved callers")
{
  const Inventory current = SampleInventory();
  Inventory file = current;
  file.mKeys.clear();
  file.mShifts.clear();
  const Inventory merged = Merge(current, file, Unlisted::Prune);
  CHECK(merged.mKeys.empty());
  REQUIRE(merged.mShifts.size() == 1);
  CHECK(merged.mShifts[0] == current.mShifts[0]);
}

// Guards against a file that moves more callers than the step cap permits.
TEST_CASE("a file cannot move callers of a shift beyond its step cap")
{
  struct Row
  {
    const char* mName;
    ResultCode mCode;
    std::function<void(Inventory&)> mChange;
  };
  const Row rows[] = {
    { "other destination of moved callers",
      ResultCode::InvalidState,
      [](Inventory& aFile) {
        std::swap(aFile.mShifts[0].mFrom, aFile.mShifts[0].mTo);
      } },
    { "final share below the present one",
      ResultCode::OutOfRange,
      [](Inventory& aFile) {
        aFile.mShifts[0].mShare = 0;
        aFile.mShifts[0].mFinalShare = 0.1;
      } },
    { "new shift above its step cap",
      ResultCode::OutOfRange,
      [](Inventory& aFile) {
        aFile.mShifts[0].mName = ShiftName("new");
        aFile.mShifts[0].mState = ShiftState::Paused;
      } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    Inventory file = SampleInventory();
    row.mChange(file);
    const auto merged =
      InventoryMerge::Merge(SampleInventory(), file, Unlisted::Keep);
    REQUIRE(!merged);
    CHECK(merged.error().front().mCode == row.mCode);
  }
}
