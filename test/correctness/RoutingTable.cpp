#include "RoutingTable.h"

#include "Sha256.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

RoutingRule MakeRule(const std::string& aName,
                     const std::string& aHost,
                     const std::string& aPrefix)
{
  RoutingRule out;
  out.mName = aName;
  out.mHost = aHost;
  out.mPathPrefix = aPrefix;
  out.mServices = { { ServiceName("s"), 1 } };
  return out;
}

RoutingTable::Parts SampleParts()
{
  RoutingTable::Parts out;
  out.mVersion = 7;
  out.mRules = { MakeRule("short", "a.example", "/shop/"),
                 MakeRule("long", "a.example", "/shop/stock/"),
                 MakeRule("other", "b.example", "/") };
  WorkspaceGrant grant;
  grant.mName = WorkspaceName("dairy");
  grant.mKeyDigests = { Sha256Hex("key-1"), Sha256Hex("key-2") };
  out.mWorkspaces = { grant };
  return out;
}

} // namespace

// Guards against requests that are routed by a shorter prefix, by another
// host's rule, or by a prefix that ends within a path segment.
TEST_CASE("the rule with the host's longest prefix is used")
{
  const RoutingTable table(SampleParts());
  struct Row
  {
    const char* mHost;
    const char* mPath;
    const char* mRule;
  };
  const Row rows[] = {
    { "a.example", "/shop/1", "short" },
    { "a.example", "/shop/stock/1?x=/", "long" },
    { "a.example", "/shop/stocktake", "short" },
    { "a.example", "/shop", nullptr },
    { "a.example", "/", nullptr },
    { "b.example", "/shop/stock/", "other" },
    { "c.example", "/shop/", nullptr },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mHost);
    CAPTURE(it.mPath);
    const auto* rule = table.Match(it.mHost, it.mPath);
    REQUIRE((rule != nullptr) == (it.mRule != nullptr));
    if (rule) {
      CHECK(rule->mName == it.mRule);
    }
  }
}

// Guards against a request that runs for another workspace or without a key.
TEST_CASE("a key authenticates its own workspace only")
{
  const RoutingTable table(SampleParts());
  REQUIRE(table.Authenticate("key-2"));
  CHECK(table.Authenticate("key-2").value()->mName == WorkspaceName("dairy"));
  REQUIRE(!table.Authenticate(""));
  CHECK(table.Authenticate("").error().mCode == ResultCode::MissingKey);
  REQUIRE(!table.Authenticate("key-3"));
  CHECK(table.Authenticate("key-3").error().mCode == ResultCode::UnknownKey);

  auto open = SampleParts();
  open.mWorkspaces.clear();
  const RoutingTable openTable(std::move(open));
  REQUIRE(openTable.Authenticate(""));
  CHECK(openTable.Authenticate("").value() == nullptr);
}
