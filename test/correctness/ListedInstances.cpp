#include "ListedInstances.h"

#include <doctest/doctest.h>

#include <string>

using namespace pollenway;

namespace {

/// Returns candidates from a text with one letter for each: "z" for an instance
/// of the zone, "r" for one of the region and "e" for one elsewhere. A capital
/// letter is one that does not reach targets. Ports count from 1.
std::vector<ListedInstance> Candidates(const std::string& aText)
{
  std::vector<ListedInstance> out;
  for (const char it : aText) {
    const char lower = char(it | 0x20);
    out.push_back({ { "127.0.0.1", uint16_t(out.size() + 1) },
                    lower == 'z'   ? 0
                    : lower == 'r' ? 1
                                   : 2,
                    it == lower });
  }
  return out;
}

} // namespace

// Guards against callers who are directed to instances that have lost their
// paths to targets while others of the zone or the region have them, and
// against callers who are moved to another region because of it.
TEST_CASE("look-ups name instances that reach targets")
{
  struct Row
  {
    std::string mCandidates;
    std::vector<uint16_t> mNamed;
  };
  const Row rows[] = {
    { "", {} },
    { "zzr", { 1, 2 } },
    { "zrre", { 1, 2, 3 } },
    { "zee", { 1 } },
    { "eee", { 1, 2, 3 } },
    { "re", { 1 } },
    // Some or all of the zone are cut off.
    { "zZzr", { 1, 3 } },
    { "ZzZrR", { 2, 4 } },
    { "ZZrre", { 3, 4 } },
    { "ZZrR", { 3 } },
    { "Zz", { 2 } },
    { "zzZZZZZZr", { 1, 2, 9 } },
    { "zzzZZZZZr", { 1, 2, 3 } },
    // The whole region is cut off: its callers stay there.
    { "ZZe", { 1, 2 } },
    { "ZRe", { 1, 2 } },
    { "Rre", { 2 } },
    { "RRe", { 1, 2 } },
    { "Ee", { 2 } },
    { "EE", { 1, 2 } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mCandidates);
    std::vector<uint16_t> named;
    for (const auto& it : ChooseListedInstances(Candidates(row.mCandidates))) {
      named.push_back(it.mPort);
    }
    CHECK(named == row.mNamed);
  }
}

// Guards against answers that grow with the size of the deployment.
TEST_CASE("look-ups name a bounded number of instances")
{
  const auto named = ChooseListedInstances(Candidates(std::string(200, 'z')));
  CHECK(named.size() == 64);
}
