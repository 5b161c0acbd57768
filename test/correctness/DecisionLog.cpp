#include "DecisionLog.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

DecisionRecord MakeRecord(int aNumber)
{
  DecisionRecord out;
  out.mId = "r-" + std::to_string(aNumber);
  return out;
}

std::vector<std::string> LastIds(const DecisionLog& aLog, size_t aCount)
{
  std::vector<std::string> out;
  for (const auto* it : aLog.Last(aCount)) {
    out.push_back(it->mId);
  }
  return out;
}

} // namespace

// Guards against a log that grows without bound, keeps the oldest decisions
// instead of the newest, or lists them in the wrong order after wrapping.
TEST_CASE("the log keeps the newest decisions, newest first")
{
  using Ids = std::vector<std::string>;
  DecisionLog log(3);
  CHECK(log.Last(5).empty());
  log.Add(MakeRecord(1));
  log.Add(MakeRecord(2));
  CHECK(LastIds(log, 5) == Ids{ "r-2", "r-1" });
  for (int n = 3; n <= 8; ++n) {
    log.Add(MakeRecord(n));
  }
  CHECK(log.Size() == 3);
  CHECK(LastIds(log, 3) == Ids{ "r-8", "r-7", "r-6" });
  CHECK(LastIds(log, 2) == Ids{ "r-8", "r-7" });
  CHECK(log.Last(0).empty());
  REQUIRE(log.Find("r-6"));
  CHECK(log.Find("r-6")->mId == "r-6");
  CHECK_FALSE(log.Find("r-5"));
}
