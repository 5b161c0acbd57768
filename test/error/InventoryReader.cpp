#include "InventoryReader.h"
#include "InventoryWriter.h"

#include "../ErrorRows.h"
#include "../InventorySample.h"

#include <algorithm>
#include <cctype>

using namespace pollenway;

namespace {

using enum ResultCode;

const ErrorRow kRows[] = {
  // Single fields.
  { "/generation", "-1", OutOfRange },
  { "/generation", "1e300", OutOfRange },
  { "/generation", "1.5", WrongType },
  { "/generation", "\"1\"", WrongType },
  { "/shifts", nullptr, MissingField },
  { "/links", "{}", WrongType },
  { "/owner", "1", UnknownField },
  { "/targets/1/colour", "1", UnknownField },
  { "/targets/1/a~1b~0", "1", UnknownField },
  { "/targets/0/slots", "0", OutOfRange },
  { "/targets/0/slots", nullptr, MissingField },
  { "/targets/0/slots", "true", WrongType },
  { "/targets/0/port", "65536", OutOfRange },
  { "/targets/0/connections", "0", OutOfRange },
  { "/targets/0/state", "\"up\"", OutOfRange },
  { "/targets/0/state", "3", WrongType },
  { "/targets/0/address", "\"127.0.0.256\"", OutOfRange },
  { "/targets/0/address", "\"host\"", OutOfRange },
  { "/targets/0/address", "\"0.0.0.0\"", OutOfRange },
  { "/targets/0/name", "\"a b\"", OutOfRange },
  { "/targets/0/name", "\"\"", OutOfRange },
  { "/targets/0/name", "null", WrongType },
  { "/regions/0/zones/2", "\"n/c\"", OutOfRange },
  { "/regions/0/capacity_rps", "-1", OutOfRange },
  { "/links/0/bits_per_second", "0", OutOfRange },
  { "/links/0/latency_ms", "-0.5", OutOfRange },
  { "/services/0/timeout_ms", "0", OutOfRange },
  { "/services/0/queue_limit", "-1", OutOfRange },
  { "/services/0/routes/0/path_prefix", "\"stock\"", OutOfRange },
  { "/services/0/routes/0/path_prefix", "\"/stock?x=1\"", OutOfRange },
  { "/services/0/routes/0/path_prefix", "\"/.pollenway/lookup\"", Conflict },
  { "/services/0/routes/0/methods/1", "\"head\"", OutOfRange },
  { "/services/0/routes/0/methods/1", "\"GET\"", Duplicate },
  { "/services/0/routes/0/methods/1", "7", WrongType },
  { "/workspaces/0/rate", "-5", OutOfRange },
  { "/workspaces/0/burst", "0.5", Conflict },
  { "/workspaces/0/weight", "0", OutOfRange },
  { "/keys/0/digest", "\"00\"", OutOfRange },
  { "/keys/0/digest", "7", WrongType },
  { "/keys/0/withdrawn", "0", WrongType },
  { "/client_blocks/0/prefix", "\"127.10.1.1/24\"", OutOfRange },
  { "/shifts/0/share", "0.8", OutOfRange },
  { "/shifts/0/step_cap", "0", OutOfRange },
  { "/shifts/0/rate_cap", nullptr, MissingField },
  { "/shifts/0/pace_ms", "-1", OutOfRange },
  // Rules that involve several elements.
  { "/regions/2",
    R"({"name": "north", "zones": [], "capacity_rps": 1})",
    Duplicate,
    "/regions/2/name" },
  { "/regions/1/zones/1", "\"n-a\"", Duplicate },
  { "/links/1",
    R"({"from":"south","to":"north","bits_per_second":1,"latency_ms":1})",
    Duplicate,
    "/links/1/to" },
  { "/links/0/to", "\"north\"", Conflict },
  { "/links/0/to", "\"east\"", UnknownReference },
  { "/places/0/zone", "\"x\"", UnknownReference },
  { "/places/2/successor", "\"p9\"", UnknownReference },
  { "/places/0/successor", "\"p1\"", Conflict },
  { "/services/1/routes/0/path_prefix", "\"/status\"", Duplicate },
  { "/services/0/routes/1/execution", "\"at-most-once\"", Conflict },
  { "/targets/1/name", "\"t1\"", Duplicate },
  { "/targets/0/service", "\"x\"", UnknownReference },
  { "/targets/0/place", "\"x\"", UnknownReference },
  { "/targets/1/state", "\"live\"", Conflict },
  { "/targets/2",
    R"({"name":"t3","service":"ledger","place":"p1","slots":1,
        "address":"0:0::1","port":9001})",
    Duplicate,
    "/targets/2/port" },
  { "/workspaces/2",
    R"({"name":"w1","rate":1,"burst":1})",
    Duplicate,
    "/workspaces/2/name" },
  { "/keys/0/workspace", "\"w9\"", UnknownReference },
  { "/keys/1/id", "\"k1\"", Duplicate },
  { "/client_blocks/2",
    R"({"prefix":"2001:DB8:0::/32","region":"north"})",
    Duplicate,
    "/client_blocks/2/prefix" },
  { "/client_blocks/0/region", "\"east\"", UnknownReference },
  { "/shifts/1/name", "\"move\"", Duplicate },
  { "/shifts/1/to", "\"south\"", Conflict },
  { "/shifts/1/service", "\"x\"", UnknownReference },
};

std::vector<Error> ErrorsOf(std::string_view aText)
{
  const auto result = InventoryReader::Read(aText);
  REQUIRE(!result);
  return result.error();
}

} // namespace

// Guards against accepting a declaration that exceeds a limit or refers to an
// undeclared element, and against reporting it at the wrong field.
TEST_CASE("an invalid inventory is refused with code and path")
{
  CheckErrorRows<InventoryReader>(
    nlohmann::json::parse(InventoryWriter::Write(SampleInventory())), kRows);
}

// Guards against errors that hide other errors: operators would need one
// attempt for each error.
TEST_CASE("all errors of an inventory are reported at once")
{
  Inventory invalidInventory = SampleInventory();
  invalidInventory.mPlaces[0].mSuccessor = PlaceName("p2");
  invalidInventory.mTargets[0].mSlots = 0;
  invalidInventory.mShifts[1].mState = ShiftState::Running;
  invalidInventory.mShifts[1].mService = invalidInventory.mShifts[0].mService;
  auto document =
    nlohmann::json::parse(InventoryWriter::Write(invalidInventory));
  document["workspaces"] = 3;
  const auto errors = ErrorsOf(document.dump());
  CHECK(HasError(errors, ResultCode::Conflict, "/places/0/successor"));
  CHECK(HasError(errors, ResultCode::Conflict, "/places/1/successor"));
  CHECK(HasError(errors, ResultCode::OutOfRange, "/targets/0/slots"));
  CHECK(HasError(errors, ResultCode::Conflict, "/shifts/1/state"));
  CHECK(HasError(errors, ResultCode::WrongType, "/workspaces"));
  CHECK(HasError(errors, ResultCode::UnknownReference, "/keys/0/workspace"));
}

// Guards against repeated member names, of which the JSON library silently
// keeps the last, and against syntax errors without a position.
TEST_CASE("text that is not valid JSON is refused")
{
  const auto repeated = ErrorsOf(
    R"({"keys": [{}, {"id": "k", "workspace": "w", "id": "j"}], "keys": []})");
  CHECK(HasError(repeated, ResultCode::Duplicate, "/keys/1/id"));
  CHECK(HasError(repeated, ResultCode::Duplicate, "/keys"));

  const auto syntax = ErrorsOf("{\n  \"keys\": [1,\n    }\n");
  REQUIRE(syntax.size() == 1);
  CHECK(syntax[0].mCode == ResultCode::SyntaxError);
  CHECK(syntax[0].mDetail.find("line 3, column 5") != std::string::npos);

  CHECK(HasError(ErrorsOf(""), ResultCode::SyntaxError, "/"));
  CHECK(HasError(ErrorsOf("{} {}"), ResultCode::SyntaxError, "/"));
  CHECK(HasError(ErrorsOf("\"\xff\""), ResultCode::SyntaxError, "/"));
  CHECK(HasError(ErrorsOf("[]"), ResultCode::WrongType, "/"));
  CHECK(HasError(ErrorsOf(R"({"links": [{"latency_ms": 1e999}]})"),
                 ResultCode::OutOfRange,
                 "/links/0/latency_ms"));
}

// Guards against equal digests that differ only in the case of their digits:
// callers of two workspaces could use each other's limits.
TEST_CASE("equal digests are refused regardless of their case")
{
  Inventory invalidInventory = SampleInventory();
  std::string& digest = invalidInventory.mKeys[1].mDigest;
  digest = invalidInventory.mKeys[0].mDigest;
  std::transform(digest.begin(), digest.end(), digest.begin(), ::toupper);
  const auto errors = ErrorsOf(InventoryWriter::Write(invalidInventory));
  CHECK(HasError(errors, ResultCode::Duplicate, "/keys/1/digest"));
}

// Guards against a key that was pasted in place of its digest and appears in
// terminals and logs.
TEST_CASE("an invalid digest is not repeated in the message")
{
  Inventory invalidInventory = SampleInventory();
  invalidInventory.mKeys[0].mDigest = "the-key-itself";
  const auto errors = ErrorsOf(InventoryWriter::Write(invalidInventory));
  CHECK(HasError(errors, ResultCode::OutOfRange, "/keys/0/digest"));
  for (const auto& it : errors) {
    CHECK(it.mDetail.find("the-key") == std::string::npos);
  }
}
