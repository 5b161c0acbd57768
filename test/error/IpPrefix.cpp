#include "IpPrefix.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a mistyped client block that is parsed as a different one.
TEST_CASE("malformed addresses and prefixes are refused")
{
  const char* texts[] = { "",
                          "1.2.3",
                          "1.2.3.256",
                          " 1.2.3.4",
                          "1.2.3.4 ",
                          "+1.2.3.4",
                          "1.2.3.4/33",
                          "1.2.3.4/-1",
                          "1.2.3.4/",
                          "1.2.3.4/8x",
                          "10.0.0.1/8",
                          "2001:db8::1/32",
                          "2001:db8::/129",
                          "2001::db8::/32",
                          "::g/128" };
  for (const auto* it : texts) {
    CAPTURE(it);
    const auto result = IpPrefix::Parse(it);
    REQUIRE(!result);
    CHECK(result.error().mCode == ResultCode::OutOfRange);
  }
}
