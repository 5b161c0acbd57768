#include "../../apps/pollenway-platform/ObjectTable.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

ObjectTable::Condition Absent()
{
  ObjectTable::Condition condition;
  condition.mAbsent = true;
  return condition;
}

ObjectTable::Condition At(uint64_t aVersion)
{
  ObjectTable::Condition condition;
  condition.mVersion = aVersion;
  return condition;
}

} // namespace

// Guards against conditional writes that take effect if their condition doesn't
// hold, or fail if it does.
TEST_CASE("conditional writes take effect exactly if the condition holds")
{
  struct Row
  {
    const char* mWhat;
    bool mExists;
    bool mDelete;
    ObjectTable::Condition mCondition;
    ResultCode mCode;
  };
  const Row rows[] = {
    { "create", false, false, {}, ResultCode::Ok },
    { "replace", true, false, {}, ResultCode::Ok },
    { "create if absent", false, false, Absent(), ResultCode::Ok },
    { "create over object", true, false, Absent(), ResultCode::Conflict },
    { "replace same version", true, false, At(7), ResultCode::Ok },
    { "replace any version", true, false, At(0), ResultCode::Ok },
    { "replace older version", true, false, At(6), ResultCode::Conflict },
    { "replace newer version", true, false, At(8), ResultCode::Conflict },
    { "replace nothing", false, false, At(7), ResultCode::Conflict },
    { "delete", true, true, {}, ResultCode::Ok },
    { "delete same version", true, true, At(7), ResultCode::Ok },
    { "delete older version", true, true, At(6), ResultCode::Conflict },
    { "delete nothing", false, true, {}, ResultCode::NotFound },
    { "delete nothing at version", false, true, At(7), ResultCode::Conflict },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mWhat);
    ObjectTable table;
    for (int i = 0; i < 6; ++i) {
      REQUIRE(table.Put("kind", "other", "x", {}));
    }
    if (row.mExists) {
      REQUIRE(table.Put("kind", "name", "old", {}).value() == 7);
    }
    const uint64_t before = table.Revision();
    const auto result = row.mDelete
                          ? table.Delete("kind", "name", row.mCondition)
                          : table.Put("kind", "name", "new", row.mCondition);
    CHECK((result ? ResultCode::Ok : result.error().mCode) == row.mCode);
    const auto* const object = table.Get("kind", "name");
    if (row.mCode != ResultCode::Ok) {
      CHECK(table.Revision() == before);
      CHECK((object != nullptr) == row.mExists);
    } else {
      CHECK(result.value() == before + 1);
      CHECK((object != nullptr) == !row.mDelete);
      CHECK((!object || *object->mValue == "new"));
    }
  }
}

// Guards against storing values above the platform's limit.
TEST_CASE("values are limited to 1 MiB")
{
  ObjectTable table;
  CHECK(table.Put("k", "n", std::string(ObjectTable::kMaxValueBytes, 'x'), {}));
  const auto result =
    table.Put("k", "n", std::string(ObjectTable::kMaxValueBytes + 1, 'x'), {});
  REQUIRE(!result);
  CHECK(result.error().mCode == ResultCode::TooLarge);
}

// Guards against watches that miss changes, or that continue although the
// history was discarded or belongs to another table.
TEST_CASE("a watch reports the last change of each object or an error")
{
  ObjectTable table(4);
  REQUIRE(table.Put("a", "1", "x", {}));
  REQUIRE(table.Put("b", "1", "y", {}));
  REQUIRE(table.Put("a", "1", "z", {}));
  REQUIRE(table.Delete("b", "1", {}));

  const auto all = table.ChangesAfter(0, "");
  REQUIRE(all);
  REQUIRE(all.value().size() == 2);
  CHECK(all.value()[0].mVersion == 3);
  CHECK(*all.value()[0].mValue == "z");
  CHECK(all.value()[1].mVersion == 4);
  CHECK(!all.value()[1].mValue);
  CHECK(table.ChangesAfter(0, "a").value().size() == 1);
  CHECK(table.ChangesAfter(3, "a").value().empty());
  CHECK(table.ChangesAfter(4, "").value().empty());
  CHECK(!table.ChangesAfter(5, ""));

  REQUIRE(table.Put("a", "2", "x", {}));
  CHECK(!table.ChangesAfter(0, ""));
  CHECK(table.ChangesAfter(1, ""));
}
