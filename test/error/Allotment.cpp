#include "Allotment.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against using an invalid or excessive share from the store.
TEST_CASE("invalid allotment texts are refused")
{
  struct Row
  {
    const char* mText;
    ResultCode mCode;
  };
  const Row rows[] = {
    { "{", ResultCode::SyntaxError },
    { "[]", ResultCode::WrongType },
    { R"({"version":1})", ResultCode::MissingField },
    { R"({"version":0,"fractions":{}})", ResultCode::OutOfRange },
    { R"({"version":-1,"fractions":{}})", ResultCode::WrongType },
    { R"({"version":1,"fractions":{},"x":1})", ResultCode::UnknownField },
    { R"({"version":1,"fractions":{"a":0.5}})", ResultCode::WrongType },
    { R"({"version":1,"fractions":{"a":1000001}})", ResultCode::OutOfRange },
    { R"({"version":1,"fractions":{"a":600000,"b":600000}})",
      ResultCode::OutOfRange },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mText);
    const auto read = Allotment::Parse(it.mText);
    REQUIRE(!read);
    CHECK(read.error().mCode == it.mCode);
  }
  const ZoneName a("a");
  const ZoneName b("b");
  const ZoneName c("c");
  const Allotment moved = Allotment::Equal({ a, b, c }).Moved(a, b, 400'000);
  CHECK(moved.Fraction(a) == 0);
  CHECK(moved.Fraction(b) == 666'666);
  CHECK(moved.Without(b).Fraction(c) == 666'666);
  const auto read = Allotment::Parse(moved.ToJson());
  REQUIRE(read);
  CHECK(read.value() == moved);
}
