#include "ResultCode.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <regex>
#include <string>

using namespace pollenway;

namespace {

struct PageRow
{
  std::string mName;
  std::string mOutcome;
  unsigned mStatus = 0;
};

std::map<unsigned, PageRow> ReadPage()
{
  const std::regex row(
    R"(\| (\d+) \| (\w+) \| ([a-z-]+) \| (\d+) \| .+ \| .+ \| .+ \|)");
  std::map<unsigned, PageRow> out;
  std::ifstream page("docs/result-codes.md");
  std::smatch match;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ") && std::isdigit(line[2])) {
      CAPTURE(line);
      REQUIRE(std::regex_match(line, match, row));
      const PageRow read{ match[2], match[3], unsigned(std::stoul(match[4])) };
      REQUIRE(out.emplace(unsigned(std::stoul(match[1])), read).second);
    }
  }
  return out;
}

/// Reads the enumerators from the text of ResultCode.h, because C++ cannot list
/// them.
std::map<unsigned, std::string> ReadEnumeration()
{
  const std::regex enumerator(R"(  (\w+) = (\d+),)");
  std::map<unsigned, std::string> out;
  std::ifstream header("src/ResultCode.h");
  std::smatch match;
  for (std::string line; std::getline(header, line);) {
    if (std::regex_match(line, match, enumerator)) {
      out.emplace(unsigned(std::stoul(match[2])), match[1]);
    }
  }
  return out;
}

} // namespace

// Guards against a code that the page omits, lists twice or describes with a
// number, outcome or status that differs from what the programs send, and
// against a code that is in the enumeration but not in the table of
// ResultCode.cpp.
TEST_CASE("the page of result codes agrees with the code")
{
  const auto page = ReadPage();
  const auto codes = ReadEnumeration();
  REQUIRE(codes.size() > 40);
  CHECK(page.size() == codes.size());
  for (const auto& [number, name] : codes) {
    CAPTURE(number);
    CAPTURE(name);
    const auto code = ResultCode(number);
    CHECK(Name(code) == name);
    const auto row = page.find(number);
    REQUIRE(row != page.end());
    CHECK(row->second.mName == name);
    CHECK(row->second.mOutcome == Name(OutcomeOf(code)));
    CHECK(row->second.mStatus == HttpStatusOf(code));
  }
}
