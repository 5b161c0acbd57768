#include "../../tools/pollenwayctl/FleetCommands.h"
#include "../../tools/pollenwayctl/ShiftCommands.h"
#include "../InventorySample.h"
#include "../PlatformFixture.h"
#include "HomeMap.h"
#include "InventoryEdit.h"
#include "InventoryWriter.h"
#include "ZoneView.h"

using namespace pollenway;

namespace {

constexpr auto kWriteRetryTimeout = std::chrono::seconds(5);

/// A platform with the sample configuration.
struct OperatorsFixture : PlatformFixture
{
  OperatorsFixture()
  {
    Put("configuration", "current", InventoryWriter::Write(SampleInventory()));
  }

  void Put(const char* aKind, const char* aName, const std::string& aValue)
  {
    REQUIRE(mServer.Table().Put(aKind, aName, aValue, {}));
  }

  ConfigurationStore Operator() { return { *mClient, kWriteRetryTimeout }; }
};

Inventory Drained(const Inventory& aInventory, const char* aPlace)
{
  return InventoryEdit::SetPlaceState(
           aInventory, PlaceName(aPlace), Lifecycle::Draining)
    .value();
}

ZoneView View(const char* aZone, const char* aMember)
{
  ZoneMember member;
  member.mName = InstanceName(aMember);
  member.mIncarnation = 77;
  member.mAddress = "127.0.0.9";
  ZoneView view;
  view.mZone = ZoneName(aZone);
  view.mNumber = 8;
  return WithMember(view, member);
}

} // namespace

// Guards against a concurrent change of two operators in which the later write
// overwrites the earlier one.
TEST_CASE("one of two operators who change the same version gets a conflict")
{
  OperatorsFixture fixture;
  fixture.Run([&]() -> Awaitable<void> {
    auto store = fixture.Operator();
    auto firstRead = co_await store.Read();
    auto secondRead = co_await store.Read();
    auto firstChange = Drained(firstRead.value().mInventory, "p1");
    auto secondChange =
      InventoryEdit::WithdrawKey(secondRead.value().mInventory, KeyId("k1"))
        .value();

    auto result = co_await store.Commit(firstRead.value(), firstChange, 0);
    CHECK(result.mExit == ExitCode::Ok);
    result = co_await store.Commit(secondRead.value(), secondChange, 0);
    CHECK(result.mExit == ExitCode::Conflict);

    auto current = co_await store.Read();
    CHECK(current.value().mInventory.mPlaces[0].mState == Lifecycle::Draining);
    CHECK(!current.value().mInventory.mKeys[0].mWithdrawn);
    CHECK(current.value().mInventory.mGeneration == 13);
  });
}

// Guards against a write that is reported as a conflict or made twice because
// its answer was lost. Half of all answers to writes are lost here.
TEST_CASE("the outcome of a write without an answer is read from the store")
{
  OperatorsFixture fixture;
  PlatformServer::Faults faults;
  faults.mLoseAnswers = 0.5;
  fixture.mServer.SetFaults(faults);
  fixture.Run([&]() -> Awaitable<void> {
    auto store = fixture.Operator();
    for (uint64_t n = 1; n <= 20; ++n) {
      auto current = co_await store.Read();
      auto next = current.value().mInventory;
      next.mWorkspaces[0].mRate = double(n);
      auto result = co_await store.Commit(current.value(), next, 0);
      CHECK(result.mExit == ExitCode::Ok);
      CHECK(result.mDocument["generation"] == 12 + n);
    }
    CHECK(fixture.mServer.Calls("put") > 20);
  });
}

// Guards against generations without changes, and against a store restored to
// an older generation, which the instances would keep refusing.
TEST_CASE("equal configurations are written only to raise the generation")
{
  OperatorsFixture fixture;
  fixture.Run([&]() -> Awaitable<void> {
    auto store = fixture.Operator();
    auto current = co_await store.Read();
    const Inventory same = current.value().mInventory;
    auto result = co_await store.Commit(current.value(), same, 0);
    CHECK(result.mText == "no changes\n");
    CHECK(fixture.mServer.Calls("put") == 0);
    result = co_await store.Commit(current.value(), same, 40);
    CHECK(result.mDocument["generation"] == 41);
    // The instances could not read this generation.
    current = co_await store.Read();
    result = co_await store.Commit(current.value(), same, UINT64_MAX - 1);
    CHECK(result.mExit == ExitCode::Invalid);
  });
}

// Guards against two operators making the same step, and against a step made
// before the pace permits it.
TEST_CASE("a shift makes one step per pace interval")
{
  OperatorsFixture fixture;
  fixture.Run([&]() -> Awaitable<void> {
    CommandOptions options;
    options.mWriteRetryTimeout = kWriteRetryTimeout;
    options.mDemand = 1;
    const Arguments advance = { "advance", "move" };
    auto store = fixture.Operator();
    struct Row
    {
      int64_t mTimeMs;
      ExitCode mExit;
      double mShare;
    };
    // The sample's shift has no record of its last step; its pace is 45 s.
    const Row rows[] = { { 1'000, ExitCode::Invalid, 0.25 },
                         { 45'000, ExitCode::Invalid, 0.25 },
                         { 46'000, ExitCode::Ok, 0.3 },
                         { 46'001, ExitCode::Invalid, 0.3 } };
    for (const auto& row : rows) {
      CAPTURE(row.mTimeMs);
      auto result = co_await RunShiftCommand(
        *fixture.mClient, options, advance, row.mTimeMs);
      CHECK(result.mExit == row.mExit);
      auto current = co_await store.Read();
      CHECK(current.value().mInventory.mShifts[0].mShare ==
            doctest::Approx(row.mShare));
    }
  });
}

// Guards against moving the idempotency keys of a zone whose instances are
// still running, which could execute a posting twice (I7).
TEST_CASE("home partitions move only from a terminated zone")
{
  OperatorsFixture fixture;
  fixture.Put("zoneview", "n-a", ZoneViewToJson(View("n-a", "n-a-1")));
  fixture.Put("zoneview", "n-b", ZoneViewToJson(View("n-b", "n-b-1")));
  const HomeMap map =
    CreateHomeMap({ { ZoneName("n-a"), 2 }, { ZoneName("n-b"), 3 } });
  fixture.Put("homemap", "current", HomeMapToJson(map));
  fixture.Run([&]() -> Awaitable<void> {
    CommandOptions options;
    options.mWriteRetryTimeout = kWriteRetryTimeout;
    auto result = co_await MoveHome(*fixture.mClient, options, "n-a", "n-b");
    CHECK(result.mExit == ExitCode::Invalid);
    CHECK(fixture.mServer.Calls("put") == 0);

    options.mZoneIsTerminated = true;
    result = co_await MoveHome(*fixture.mClient, options, "n-a", "n-b");
    CHECK(result.mExit == ExitCode::Ok);
    const auto* const stored =
      fixture.mServer.Table().Get("homemap", "current");
    CHECK(HomeMapFromJson(*stored->mValue).value() ==
          MoveHomes(map, ZoneName("n-a"), { { ZoneName("n-b"), 9 } }));
  });
}

// Guards against releasing an incarnation without the operator's confirmation,
// and against releasing another incarnation than the one shown.
TEST_CASE("a release names the incarnation in the view")
{
  OperatorsFixture fixture;
  fixture.Put("zoneview", "n-a", ZoneViewToJson(View("n-a", "n-a-1")));
  fixture.Run([&]() -> Awaitable<void> {
    CommandOptions options;
    options.mWriteRetryTimeout = kWriteRetryTimeout;
    auto result = co_await ReleaseInstance(*fixture.mClient, options, "n-a-1");
    CHECK(result.mExit == ExitCode::Usage);
    CHECK(!fixture.mServer.Table().Get("release", "n-a-1"));
    options.mYes = true;
    result = co_await ReleaseInstance(*fixture.mClient, options, "n-a-1");
    CHECK(result.mExit == ExitCode::Ok);
    CHECK(*fixture.mServer.Table().Get("release", "n-a-1")->mValue ==
          R"({"incarnation":77})");
    result = co_await ReleaseInstance(*fixture.mClient, options, "n-a-1");
    CHECK(fixture.mServer.Calls("put") == 1);
  });
}
