#include "Inventory.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a route that matches requests of another one: a prefix that
// matches within a path segment, or a ".." segment with which a request
// received on an open route would run as a keyed one at the backend server.
TEST_CASE("routes match whole path segments")
{
  Inventory inventory;
  inventory.mServices.push_back({
    .mName = ServiceName("s"),
    .mRoutes = { { .mPathPrefix = "/stock", .mMethods = {} },
                 { .mPathPrefix = "/stock/levels", .mMethods = { "GET" } },
                 { .mPathPrefix = "/open/", .mMethods = {} } },
  });
  struct Row
  {
    std::string_view mMethod;
    std::string_view mPath;
    std::string_view mPrefix;
  };
  const Row rows[] = {
    { "GET", "/stock", "/stock" },
    { "GET", "/stock/7", "/stock" },
    { "GET", "/stock?id=7", "/stock" },
    { "GET", "/stocktake", "" },
    { "GET", "/stock-levels", "" },
    { "GET", "/stoc", "" },
    { "GET", "", "" },
    { "GET", "/stock/levels/2", "/stock/levels" },
    { "GET", "/stock/levels2", "/stock" },
    { "PUT", "/stock/levels/2", "/stock" },
    { "GET", "/open/x", "/open/" },
    { "GET", "/open", "" },
    { "GET", "/open/../stock", "" },
    { "GET", "/open/%2e%2E/stock", "" },
    { "GET", "/open/x%2f..%2Fstock", "" },
    { "GET", "/open/x\\..\\stock", "" },
    { "GET", "/open/.", "" },
    { "GET", "/open/..?x", "" },
    { "GET", "/open/...", "/open/" },
    { "GET", "/open/..x", "/open/" },
    { "GET", "/open/.well-known", "/open/" },
    { "GET", "/open/x?next=/../y", "/open/" },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mMethod);
    CAPTURE(it.mPath);
    const auto match = inventory.MatchRoute(it.mMethod, it.mPath);
    CHECK((match.mRoute ? match.mRoute->mPathPrefix : "") == it.mPrefix);
  }
}
