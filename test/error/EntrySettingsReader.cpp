#include "EntrySettingsReader.h"
#include "SettingsFile.h"

#include "../ErrorRows.h"

using namespace pollenway;

namespace {

constexpr const char* kMinimalSettings = R"({
  "name": "akl-a-1", "zone": "akl-a", "address": "127.3.1.1",
  "platform": {"address": "127.0.0.1", "port": 8500},
  "seeds": [{"address": "127.3.1.2", "peer_port": 7070}],
  "trusted_resolvers": ["127.0.0.0/8"]
})";

using enum ResultCode;

const ErrorRow kRows[] = {
  { "/name", nullptr, MissingField },
  { "/name", "\"a/b\"", OutOfRange },
  { "/zone", "7", WrongType },
  { "/address", "\"127.3.1\"", OutOfRange },
  { "/address", "\"0.0.0.0\"", OutOfRange },
  { "/caller_port", "0", OutOfRange },
  { "/relay_port", "8080", Conflict },
  { "/admin_address", "\"x\"", OutOfRange },
  { "/platform", nullptr, MissingField },
  { "/platform/port", "70000", OutOfRange },
  { "/platform/url", "\"\"", UnknownField },
  { "/seeds", "{}", WrongType },
  { "/seeds/0", "1", WrongType },
  { "/seeds/0/peer_port", "\"1\"", WrongType },
  { "/seeds/1",
    R"({"address": "127.3.1.2", "peer_port": 7070})",
    Duplicate,
    "/seeds/1/address" },
  { "/seed", "-1", OutOfRange },
  { "/cut_off_key_policy", "\"keep\"", OutOfRange },
  { "/trusted_resolvers/0", "\"127.0.0.1/8\"", OutOfRange },
  { "/trusted_resolvers/1", "\"127.0.0.0/8\"", Duplicate },
  { "/drain_timeout_ms", "999", OutOfRange },
  { "/record_retention_ms", "86400001", OutOfRange },
  { "/max_buffered_answer_bytes", "524289", OutOfRange },
  { "/log_level", "\"loud\"", OutOfRange },
  { "/drainTimeoutMs", "5000", UnknownField },
};

} // namespace

// Guards against an instance that starts with wrong settings, for example with
// a default because a field name was misspelt.
TEST_CASE("invalid entry settings are refused with code and path")
{
  CheckErrorRows<EntrySettingsReader>(nlohmann::json::parse(kMinimalSettings),
                                      kRows);
}

// Guards against optional fields that are stored in the wrong setting.
TEST_CASE("entry settings have defaults and can all be set")
{
  const auto minimal = EntrySettingsReader::Read(kMinimalSettings);
  REQUIRE(minimal);
  EntrySettings expected;
  expected.mName = InstanceName("akl-a-1");
  expected.mZone = ZoneName("akl-a");
  expected.mAddress = "127.3.1.1";
  expected.mPlatform = { "127.0.0.1", 8500 };
  expected.mSeeds = { { "127.3.1.2", 7070 } };
  expected.mTrustedResolvers = { *NetworkPrefix::Parse("127.0.0.0/8") };
  CHECK(minimal.value() == expected);

  auto document = nlohmann::json::parse(kMinimalSettings);
  document.update(nlohmann::json::parse(R"({
    "caller_port": 1, "peer_port": 2, "relay_port": 3, "admin_port": 4,
    "admin_address": "::1", "seed": 18446744073709551615,
    "cut_off_key_policy": "refuse", "drain_timeout_ms": 2000,
    "record_retention_ms": 3000, "max_buffered_answer_bytes": 0,
    "log_level": "debug"
  })"));
  const auto all = EntrySettingsReader::Read(document.dump());
  REQUIRE(all);
  expected.mCallerPort = 1;
  expected.mPeerPort = 2;
  expected.mRelayPort = 3;
  expected.mAdminPort = 4;
  expected.mAdminAddress = "::1";
  expected.mRandomSeed = 18446744073709551615u;
  expected.mCutOffKeyPolicy = CutOffKeyPolicy::Mode::Refuse;
  expected.mDrainTimeout = std::chrono::seconds(2);
  expected.mRecordRetention = std::chrono::seconds(3);
  expected.mMaxBufferedAnswerBytes = 0;
  expected.mLogLevel = LogLevel::Debug;
  CHECK(all.value() == expected);
}

// Guards against an unreadable file that is reported as a syntax error at the
// start of the file.
TEST_CASE("an unreadable settings file is distinguished from an invalid one")
{
  for (const char* path : { "test/no-such-file.json", "test" }) {
    CAPTURE(path);
    const auto text = ReadSettingsFile(path);
    REQUIRE(!text);
    CHECK(text.error().mCode == ResultCode::FileUnreadable);
    CHECK(text.error().mPath == path);
  }
}
