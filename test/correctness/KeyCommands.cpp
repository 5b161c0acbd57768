#include "../../tools/pollenwayctl/KeyCommands.h"

#include "../InventorySample.h"
#include "../PlatformFixture.h"
#include "HttpServer.h"
#include "InventoryWriter.h"
#include "ZoneView.h"

using namespace pollenway;

namespace {

/// A platform with the sample configuration and a zone view, and the admin port
/// of the only instance of zone n-a.
struct KeysFixture : PlatformFixture
{
  KeysFixture()
    : mAdmin(mIo.get_executor(), std::chrono::seconds(2))
    , mInstance(mIo.get_executor(), {}, [this](HttpConnection& aConnection) {
      return Answer(aConnection);
    })
  {
    REQUIRE(mInstance.Listen("127.0.0.1", 0));
    mOptions.mAdminPort = mInstance.Port();
    mOptions.mWriteRetryTimeout = std::chrono::milliseconds(20);
    Put("configuration", "current", InventoryWriter::Write(SampleInventory()));
    PutView("n-a", "127.0.0.1");
  }

  Awaitable<void> Answer(HttpConnection& aConnection)
  {
    auto body = co_await aConnection.ReadBody(1000);
    mReceived += aConnection.Header().target().to_string() + body.value();
    TextResponse answer(http::status::ok, 11);
    answer.body() = R"({"zone":"n-a"})";
    co_await aConnection.Write(std::move(answer));
  }

  void Put(const char* aKind, const char* aName, const std::string& aValue)
  {
    REQUIRE(mServer.Table().Put(aKind, aName, aValue, {}));
  }

  void PutView(const char* aZone, const char* aAddress)
  {
    ZoneMember member;
    member.mName = InstanceName(std::string(aZone) + "-1");
    member.mAddress = aAddress;
    ZoneView view;
    view.mZone = ZoneName(aZone);
    Put("zoneview", aZone, ZoneViewToJson(WithMember(view, member)));
  }

  /// Runs `key withdraw` and returns its result.
  CommandResult Withdraw(const char* aId)
  {
    CommandResult result;
    Run([&]() -> Awaitable<void> {
      auto withdrawn = co_await WithdrawKey(*mClient, mAdmin, mOptions, aId);
      result = std::move(withdrawn);
      mInstance.Abort();
    });
    return result;
  }

  CommandOptions mOptions;
  AdminClient mAdmin;
  HttpServer mInstance;
  std::string mReceived;
};

} // namespace

// Guards against a withdrawal that depends on the store: during a store outage
// it must reach the instances, and the command must not report success (I3).
TEST_CASE("a key is withdrawn while the store is down")
{
  KeysFixture fixture;
  PlatformServer::Faults faults;
  faults.mOutage = true;
  fixture.mServer.SetFaults(faults);
  fixture.mOptions.mInstances =
    "127.0.0.1:" + std::to_string(fixture.mInstance.Port());
  const auto result = fixture.Withdraw("k1");
  CHECK(fixture.mReceived == R"(/withdrawals{"key":"k1"})");
  CHECK(result.mExit == ExitCode::StoreUnavailable);
  CHECK(result.mDocument["zones"]["n-a"] == true);
}

// Guards against reporting success although a zone has not received the
// withdrawal.
TEST_CASE("a withdrawal reports each zone")
{
  struct Row
  {
    const char* mName;
    void (*mPrepare)(KeysFixture&);
    const char* mId;
    ExitCode mExit;
  };
  const Row rows[] = {
    { "all zones", [](KeysFixture&) {}, "k1", ExitCode::Ok },
    { "already withdrawn", [](KeysFixture&) {}, "k2", ExitCode::Ok },
    { "unknown key", [](KeysFixture&) {}, "kx", ExitCode::Invalid },
    // Nothing listens on this address.
    { "silent zone",
      [](KeysFixture& aFixture) { aFixture.PutView("n-b", "127.0.0.77"); },
      "k1",
      ExitCode::Failed },
    { "unreadable view",
      [](KeysFixture& aFixture) { aFixture.Put("zoneview", "n-b", "{}"); },
      "k1",
      ExitCode::Failed },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    KeysFixture fixture;
    row.mPrepare(fixture);
    const auto result = fixture.Withdraw(row.mId);
    CHECK(result.mExit == row.mExit);
    CHECK(result.mDocument["zones"]["n-a"] == true);
  }
}

// Guards against a key that is written to the store, and against generating the
// same key twice.
TEST_CASE("only the digest of a new key is stored")
{
  KeysFixture fixture;
  const std::string key = GenerateKey();
  CHECK(key.size() == 68);
  CHECK(key != GenerateKey());
  CommandResult result;
  fixture.Run([&]() -> Awaitable<void> {
    auto issued =
      co_await IssueKey(*fixture.mClient, fixture.mOptions, "w1", key);
    result = std::move(issued);
    fixture.mInstance.Abort();
  });
  CHECK(result.mDocument["key"] == key);
  const auto& stored =
    *fixture.mServer.Table().Get("configuration", "current")->mValue;
  CHECK(stored.find(key) == std::string::npos);
  CHECK(stored.find(Sha256Hex(key)) != std::string::npos);
}
