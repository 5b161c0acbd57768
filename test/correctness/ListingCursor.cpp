#include "ListingCursor.h"

#include <doctest/doctest.h>

#include <vector>

using namespace pollenway;

namespace {

void AddAll(ListingCursor& aCursor, const std::vector<std::string>& aNames)
{
  for (const auto& it : aNames) {
    aCursor.Add(it);
  }
}

} // namespace

// Guards against a listing that leaves out or repeats pages of usable names.
TEST_CASE("a page begins after the last name of the one before")
{
  ListingCursor cursor;
  CHECK(cursor.After().empty());
  AddAll(cursor, { "a", "b" });
  REQUIRE(cursor.Advance());
  CHECK(cursor.After() == "b");
  AddAll(cursor, { "c" });
  REQUIRE(cursor.Advance());
  CHECK(cursor.After() == "c");
}

// Guards against a listing that ends because the store refuses a name, or that
// repeats a page for ever.
TEST_CASE("a listing continues after another name of the same page")
{
  struct Row
  {
    std::string mCase;
    std::vector<std::string> mPage;
    std::vector<std::string> mTried;
  };
  const std::string tooLong(70'000, 'x');
  const std::string cut(ListingCursor::kMaxNameBytes, 'x');
  const Row rows[] = {
    { "usable names", { "a", "b", "c" }, { "c", "b", "a" } },
    { "many names", { "a", "b", "c", "d", "e", "f" }, { "f", "e", "d", "c" } },
    { "a control character", { "a", "b\x01z" }, { "b\x01z", "b ", "a" } },
    { "a delete character", { "b\x7f" }, { "b\x7f", "b\xc2\x80" } },
    { "a name that is too long", { tooLong }, { cut + "\xf4\x8f\xbf\xbf" } },
    { "an empty name", { "" }, { " " } },
    { "no name", {}, {} },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mCase);
    ListingCursor cursor;
    AddAll(cursor, row.mPage);
    bool hasNext = cursor.Advance();
    for (const auto& it : row.mTried) {
      REQUIRE(hasNext);
      CHECK(cursor.After() == it);
      hasNext = cursor.StepBack();
    }
    CHECK_FALSE(hasNext);
  }
}

// Guards against a name that the store reads as an earlier one.
TEST_CASE("a page without a new name is no progress")
{
  ListingCursor cursor;
  AddAll(cursor, { "a", "b" });
  REQUIRE(cursor.Advance());
  CHECK(cursor.After() == "b");
  AddAll(cursor, { "a", "b" });
  REQUIRE(cursor.Advance());
  CHECK(cursor.After() == "a");
  AddAll(cursor, { "a", "b" });
  CHECK_FALSE(cursor.Advance());
}

// Guards against a name that is cut within a character, which is no text.
TEST_CASE("a name that is too long is cut between two characters")
{
  std::string name = "x";
  while (name.size() <= ListingCursor::kMaxNameBytes) {
    name += "\xe6\x97\xa5";
  }
  ListingCursor cursor;
  cursor.Add(name);
  REQUIRE(cursor.Advance());
  const std::string end = "\xf4\x8f\xbf\xbf";
  REQUIRE(cursor.After().ends_with(end));
  CHECK((cursor.After().size() - end.size()) % 3 == 1);
  CHECK(cursor.After() > name);
}
