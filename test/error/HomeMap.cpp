#include "HomeMap.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a damaged map object that is accepted.
TEST_CASE("a damaged home map is refused with the field")
{
  const auto text = HomeMapToJson(CreateHomeMap({ { ZoneName("a"), 1 } }));
  const auto with = [&](std::string aOld, const std::string& aNew) {
    auto out = text;
    return out.replace(out.find(aOld), aOld.size(), aNew);
  };
  struct Row
  {
    std::string mText;
    ResultCode mCode;
    std::string mPath;
  };
  const Row rows[] = {
    { "{", ResultCode::SyntaxError, "" },
    { "[]", ResultCode::WrongType, "" },
    { "{}", ResultCode::MissingField, "/version" },
    { R"({"version":1})", ResultCode::MissingField, "/partitions" },
    { R"({"version":1,"partitions":3})", ResultCode::WrongType, "/partitions" },
    { R"({"version":1,"partitions":[]})",
      ResultCode::OutOfRange,
      "/partitions" },
    { with("\"zone\":\"a\"", "\"zone\":7"),
      ResultCode::WrongType,
      "/partitions/0/zone" },
    { with("\"moves\":0", "\"moves\":-1"),
      ResultCode::WrongType,
      "/partitions/0/moves" },
    { with("\"recordsSince\":1,", ""),
      ResultCode::MissingField,
      "/partitions/0/recordsSince" },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mText.substr(0, 60));
    const auto result = HomeMapFromJson(it.mText);
    REQUIRE(result.has_error());
    CHECK(result.error().mCode == it.mCode);
    CHECK(result.error().mPath == it.mPath);
  }
}
