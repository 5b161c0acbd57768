#include "RequestTarget.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against splitting paths and query parameters incorrectly.
TEST_CASE("a request target is split into segments and parameters")
{
  const auto target =
    RequestTarget::Parse("/v1//watch/kind/?after=12&timeout_ms=x&empty=&flag");
  REQUIRE(target.mSegments.size() == 3);
  CHECK(target.mSegments[0] == "v1");
  CHECK(target.mSegments[2] == "kind");
  CHECK(target.Number("after") == 12);
  CHECK(!target.Number("timeout_ms"));
  CHECK(!target.Number("empty"));
  CHECK(!target.Number("absent"));
  CHECK(target.mQuery.count("flag") == 1);
  CHECK(RequestTarget::Parse("").mSegments.empty());
  CHECK(RequestTarget::Parse("/?").mSegments.empty());
}

// Guards against taking the escaped form of a text for the text.
TEST_CASE("segments and parameters are decoded")
{
  const auto target =
    RequestTarget::Parse("/a%2Fb/%6e/%zz?na%26me=a%3Db%26c&last=%31&odd=5%");
  REQUIRE(target.mSegments.size() == 3);
  CHECK(target.mSegments[0] == "a/b");
  CHECK(target.mSegments[1] == "n");
  CHECK(target.mSegments[2] == "%zz");
  CHECK(target.mQuery.at("na&me") == "a=b&c");
  CHECK(target.Number("last") == 1);
  CHECK(target.mQuery.at("odd") == "5%");
}

// Guards against accepting partial or overflowing numbers.
TEST_CASE("a number takes up the whole text and fits into 64 bits")
{
  CHECK(ParseNumber("18446744073709551615") == UINT64_MAX);
  for (const char* text :
       { "", "-1", "+1", " 1", "1 ", "1.5", "0x1", "18446744073709551616" }) {
    CAPTURE(text);
    CHECK(!ParseNumber(text));
  }
}
