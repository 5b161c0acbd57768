#include "InventoryDiff.h"
#include "InventoryReader.h"

#include "../InventorySample.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

std::string DiffText(const Inventory& aOld, const Inventory& aNew)
{
  return InventoryDiff::Render(InventoryDiff::Compare(aOld, aNew));
}

} // namespace

// Guards against a change that is missing from the list that operators review
// before they apply it. Each row changes one field or element and gives the
// expected line.
TEST_CASE("each change of an inventory is listed")
{
  struct Row
  {
    void (*mChange)(Inventory&);
    std::string_view mText;
  };
  const Row rows[] = {
    { [](Inventory& aNew) { aNew.mGeneration = 99; }, "" },
    { [](Inventory& aNew) {
       std::swap(aNew.mTargets[0], aNew.mTargets[1]);
       std::swap(aNew.mRegions[0].mZones[0], aNew.mRegions[0].mZones[1]);
     },
      "" },
    { [](Inventory& aNew) { aNew.mRegions[1].mCapacity = 0.5; },
      "~ region south: capacity_rps 800 -> 0.5\n" },
    { [](Inventory& aNew) { aNew.mLinks.clear(); },
      "- link north - south: bits_per_second 4e+09, latency_ms 55\n" },
    { [](Inventory& aNew) { aNew.mPlaces[1].mSuccessor = PlaceName(); },
      "~ place p2: successor p1 -> none\n" },
    { [](Inventory& aNew) {
       aNew.mServices[0].mTimeout = std::chrono::seconds(3);
     },
      "~ service lookup: timeout_ms 2500 -> 3000\n" },
    { [](Inventory& aNew) {
       aNew.mServices[0].mRoutes[1].mAccess = RouteAccess::Keyed;
     },
      "~ route lookup /status: access open -> keyed\n" },
    { [](Inventory& aNew) { aNew.mServices[0].mRoutes.pop_back(); },
      "- route lookup /status: access open, execution unprotected\n" },
    { [](Inventory& aNew) {
       aNew.mServices[0].mRoutes[0].mMethods = { "HEAD", "GET" };
     },
      "" },
    { [](Inventory& aNew) {
       aNew.mTargets[0].mSlots = 8;
       aNew.mTargets[0].mState = Lifecycle::Live;
     },
      "~ target t1: slots 9 -> 8, state draining -> live\n" },
    { [](Inventory& aNew) {
       aNew.mWorkspaces.push_back({ WorkspaceName("w3"), 5, 6, 1 });
     },
      "+ workspace w3: rate 5, burst 6, weight 1\n" },
    { [](Inventory& aNew) { aNew.mKeys[0].mWithdrawn = true; },
      "~ key k1: withdrawn false -> true\n" },
    { [](Inventory& aNew) { aNew.mClientBlocks[0].mRegion = RegionName("x"); },
      "~ client block 127.10.1.0/24: region north -> x\n" },
    { [](Inventory& aNew) { aNew.mShifts[0].mReason = "a\nb"; },
      "~ shift move: reason none -> \"a?b\"\n" },
  };
  for (const auto& it : rows) {
    Inventory changed = SampleInventory();
    it.mChange(changed);
    CHECK(DiffText(SampleInventory(), changed) == it.mText);
  }
}

// Guards against full digests in terminals and logs, also if the abbreviated
// forms of two digests are equal.
TEST_CASE("a changed digest is listed in abbreviated form")
{
  Inventory changed = SampleInventory();
  std::string& digest = changed.mKeys[0].mDigest;
  const std::string before = digest;
  digest.back() = digest.back() == '0' ? '1' : '0';
  const std::string shown = before.substr(0, 8) + "...";
  CHECK(DiffText(SampleInventory(), changed) ==
        "~ key k1: digest " + shown + " -> " + shown + "\n");

  Inventory empty;
  for (const auto& text : { DiffText(SampleInventory(), empty),
                            DiffText(empty, SampleInventory()) }) {
    CHECK(text.find(before.substr(0, 9)) == std::string::npos);
  }
}

// Guards against an element kind that the comparison skips.
TEST_CASE("an empty inventory differs in every element")
{
  const Inventory all = SampleInventory();
  const size_t routes =
    all.mServices[0].mRoutes.size() + all.mServices[1].mRoutes.size();
  const size_t elements = all.mRegions.size() + all.mLinks.size() +
                          all.mPlaces.size() + all.mServices.size() + routes +
                          all.mTargets.size() + all.mWorkspaces.size() +
                          all.mKeys.size() + all.mClientBlocks.size() +
                          all.mShifts.size();
  for (const auto& it : InventoryDiff::Compare(Inventory(), all)) {
    CHECK(it.mKind == ChangeKind::Added);
  }
  CHECK(InventoryDiff::Compare(Inventory(), all).size() == elements);
  CHECK(InventoryDiff::Compare(all, Inventory()).size() == elements);
  CHECK(InventoryDiff::Compare(all, all).empty());
}
