#include "ZoneView.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

ZoneMember Member(const char* aName, Incarnation aIncarnation)
{
  return { InstanceName(aName), aIncarnation, "192.0.2.1", 80, 81, 0 };
}

} // namespace

// Guards against a change that keeps the number, lists a name twice, or removes
// a newer incarnation than the given one.
TEST_CASE("each change of a view has the next number")
{
  const ZoneView empty{ ZoneName("z"), 0, {} };
  const auto one = WithMember(empty, Member("b", 1));
  const auto two = WithMember(one, Member("a", 1));
  CHECK(two.mNumber == 2);
  CHECK(two.Names() == std::vector{ InstanceName("a"), InstanceName("b") });
  const auto replaced = WithMember(two, Member("b", 7));
  CHECK(replaced.mNumber == 3);
  CHECK(replaced.mMembers.size() == 2);
  CHECK(!replaced.Contains(InstanceName("b"), 1));
  CHECK(WithoutMember(replaced, InstanceName("b"), 1) == replaced);
  const auto remaining = WithoutMember(replaced, InstanceName("b"), 7);
  CHECK(remaining.mNumber == 4);
  CHECK(remaining.Names() == std::vector{ InstanceName("a") });
  const auto completed = WithCompletedView(remaining, InstanceName("a"), 4);
  CHECK(completed.mNumber == 4);
  CHECK(completed.mMembers[0].mCompletedView == 4);
  CHECK(WithCompletedView(completed, InstanceName("a"), 2) == completed);
  CHECK(ZoneViewFromJson(ZoneViewToJson(replaced)).value() == replaced);
}

// Guards against a damaged store object that is accepted as a view.
TEST_CASE("texts that are not a valid view are refused")
{
  struct Row
  {
    const char* mText;
    ResultCode mCode;
  };
  const Row rows[] = {
    { "", ResultCode::SyntaxError },
    { "{", ResultCode::SyntaxError },
    { "[]", ResultCode::WrongType },
    { R"({"zone":"z","number":-1,"members":[]})", ResultCode::WrongType },
    { R"({"zone":"z","number":1})", ResultCode::WrongType },
    { R"({"zone":"z","number":1,"members":[{"instance":"a"}]})",
      ResultCode::WrongType },
    { R"({"zone":"z","number":1,"members":[
         {"instance":"a","incarnation":1,"address":"x","entryPort":1,
          "peerPort":70000,"completedView":0}]})",
      ResultCode::WrongType },
    { R"({"zone":"z","number":1,"members":[
         {"instance":"a","incarnation":1,"address":"x","entryPort":1,
          "peerPort":2,"relayPort":3,"completedView":0},
         {"instance":"a","incarnation":2,"address":"x","entryPort":1,
          "peerPort":2,"relayPort":3,"completedView":0}]})",
      ResultCode::Duplicate },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mText);
    const auto out = ZoneViewFromJson(it.mText);
    REQUIRE(!out);
    CHECK(out.error().mCode == it.mCode);
  }
}
