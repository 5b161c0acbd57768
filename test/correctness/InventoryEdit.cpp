#include "InventoryEdit.h"

#include "../InventorySample.h"

#include <doctest/doctest.h>

#include <functional>

using namespace pollenway;

namespace {

const ShiftName kRunningShift("move");
const ShiftName kRolledBackShift("back");

ShiftDeclaration NewShift(const char* aName)
{
  ShiftDeclaration shift;
  shift.mName = ShiftName(aName);
  shift.mService = ServiceName("ledger");
  shift.mFrom = RegionName("north");
  shift.mTo = RegionName("south");
  shift.mShare = 0.5;
  shift.mRateCap = 10;
  return shift;
}

TenantKey NewKey(const char* aId, const char* aWorkspace, const char* aKey)
{
  return { KeyId(aId), WorkspaceName(aWorkspace), Sha256Hex(aKey), false };
}

Result<Inventory> Step(std::optional<double> aShare,
                       std::optional<double> aDemand)
{
  InventoryEdit::Step step;
  step.mShare = aShare;
  step.mDemand = aDemand;
  return InventoryEdit::AdvanceShift(SampleInventory(), kRunningShift, step);
}

Result<Inventory> Retire(const char* aPlace, const char* aSuccessor)
{
  return InventoryEdit::RetirePlace(
    SampleInventory(), PlaceName(aPlace), PlaceName(aSuccessor));
}

} // namespace

// Guards against an edit that takes effect although it is not permitted, for
// instance a step above the step cap of a shift (I1).
TEST_CASE("edits that are not permitted are refused")
{
  using Edit = InventoryEdit;
  struct Row
  {
    const char* mName;
    ResultCode mCode;
    std::function<Result<Inventory>()> mEdit;
  };
  const Inventory sample = SampleInventory();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const Row rows[] = {
    { "restore a retired target",
      ResultCode::InvalidState,
      [&] {
        return Edit::SetTargetState(sample, TargetName("t2"), Lifecycle::Live);
      } },
    { "drain an unknown place",
      ResultCode::NotFound,
      [&] {
        return Edit::SetPlaceState(
          sample, PlaceName("px"), Lifecycle::Draining);
      } },
    { "retire a live place",
      ResultCode::InvalidState,
      [] { return Retire("p1", "p2"); } },
    { "successor unknown",
      ResultCode::NotFound,
      [] { return Retire("p2", "px"); } },
    { "successor leads back",
      ResultCode::InvalidState,
      [] { return Retire("p2", "p3"); } },
    { "start a running shift",
      ResultCode::Duplicate,
      [&] { return Edit::StartShift(sample, NewShift("move")); } },
    { "resume a rolled-back shift",
      ResultCode::InvalidState,
      [&] { return Edit::ResumeShift(sample, kRolledBackShift); } },
    { "pause a rolled-back shift",
      ResultCode::InvalidState,
      [&] { return Edit::PauseShift(sample, kRolledBackShift); } },
    { "roll an unknown shift back",
      ResultCode::NotFound,
      [&] { return Edit::RollBackShift(sample, ShiftName("x")); } },
    { "step above the step cap",
      ResultCode::OutOfRange,
      [] { return Step(0.06, 1); } },
    { "step of zero", ResultCode::OutOfRange, [] { return Step(0, 1); } },
    { "step that is not a number",
      ResultCode::OutOfRange,
      [=] { return Step(nan, 1); } },
    // A share of 0.3 of 401/s exceeds the rate cap of 120/s.
    { "step above the rate cap",
      ResultCode::OutOfRange,
      [] { return Step(0.05, 401); } },
    // Without a measured demand, the sum of the workspaces' rates, 400.1/s, is
    // used.
    { "rate bounded by workspaces",
      ResultCode::OutOfRange,
      [] { return Step(0.05, std::nullopt); } },
    { "key of an unknown workspace",
      ResultCode::NotFound,
      [&] { return Edit::IssueKey(sample, NewKey("k3", "wx", "three")); } },
    { "key id in use",
      ResultCode::Duplicate,
      [&] { return Edit::IssueKey(sample, NewKey("k2", "w1", "three")); } },
    { "key in use",
      ResultCode::Duplicate,
      [&] { return Edit::IssueKey(sample, NewKey("k3", "w2", "one")); } },
    { "withdraw an unknown key",
      ResultCode::NotFound,
      [&] { return Edit::WithdrawKey(sample, KeyId("kx")); } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto result = row.mEdit();
    REQUIRE(!result);
    CHECK(result.error().mCode == row.mCode);
  }
}

// Guards against edits that change other elements, or too few: a live target at
// a retired place would make the whole configuration invalid.
TEST_CASE("permitted edits change their element")
{
  auto expected = SampleInventory();
  expected.mTargets[0].mState = Lifecycle::Live;
  CHECK(InventoryEdit::SetTargetState(
          SampleInventory(), TargetName("t1"), Lifecycle::Live)
          .value() == expected);

  auto started =
    InventoryEdit::StartShift(SampleInventory(), NewShift("back")).value();
  CHECK(started.mShifts.size() == 2);
  CHECK(started.mShifts[1].mShare == 0);
  CHECK(started.mShifts[1].mState == ShiftState::Running);

  auto inventory = SampleInventory();
  inventory.mTargets[0].mPlace = PlaceName("p2");
  inventory =
    InventoryEdit::RetirePlace(inventory, PlaceName("p2"), PlaceName("p1"))
      .value();
  CHECK(inventory.mPlaces[1].mState == Lifecycle::Retired);
  CHECK(inventory.mTargets[0].mState == Lifecycle::Retired);

  inventory = InventoryEdit::WithdrawKey(inventory, KeyId("k1")).value();
  CHECK(inventory.mKeys[0].mWithdrawn);
}

// Guards against rounding errors that keep a shift permanently below its final
// share, or let it exceed that share.
TEST_CASE("steps end exactly at the final share")
{
  auto inventory = SampleInventory();
  InventoryEdit::Step step;
  step.mDemand = 1;
  for (int n = 0; n < 10; ++n) {
    CHECK(FindShift(inventory, kRunningShift)->mState == ShiftState::Running);
    inventory =
      InventoryEdit::AdvanceShift(inventory, kRunningShift, step).value();
  }
  CHECK(FindShift(inventory, kRunningShift)->mShare == 0.75);
  CHECK(FindShift(inventory, kRunningShift)->mState == ShiftState::Done);
}
