#include "NetworkPrefix.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against addresses that other programs parse differently (octal parts,
// short forms) and prefixes with bits that would be silently discarded.
TEST_CASE("malformed prefixes are refused")
{
  const std::string_view rows[] = {
    "",
    "/8",
    "10.0.0.0",
    "10.0.0.0/",
    "10/8",
    "10.0/16",
    "10.0.0./8",
    "10.0.0.0/33",
    "10.0.0.0/-1",
    "10.0.0.0/+8",
    "10.0.0.0/08",
    "10.0.0.0/8/8",
    "10.0.0.0/8 ",
    " 10.0.0.0/8",
    "10.0.0.1/24",
    "010.0.0.0/8",
    "10.0.0.00/8",
    "256.0.0.0/8",
    "1.2.3.4.5/32",
    "0x10.0.0.0/8",
    "::/129",
    "::1/127",
    "1::2::3/128",
    "g::/16",
    "::1%lo/128",
    "::ffff:1.2.3/128",
  };
  for (const auto& it : rows) {
    CAPTURE(it);
    CHECK(!NetworkPrefix::Parse(it));
  }
  CHECK(!NetworkPrefix::ParseAddress("10.0.0.0/8"));
  CHECK(!NetworkPrefix::ParseAddress(std::string_view("10.0.0.1\0", 9)));
}

// Guards against a resolver that is trusted or refused because of the wrong
// prefix.
TEST_CASE("a prefix contains only its own addresses")
{
  struct Row
  {
    std::string_view mPrefix;
    std::string_view mAddress;
    bool mContains;
  };
  const Row rows[] = {
    { "10.0.0.0/8", "10.255.255.255", true },
    { "10.0.0.0/8", "11.0.0.0", false },
    { "10.1.2.128/25", "10.1.2.127", false },
    { "10.1.2.128/25", "10.1.2.200", true },
    { "10.1.2.3/32", "10.1.2.3", true },
    { "10.1.2.3/32", "10.1.2.2", false },
    { "0.0.0.0/0", "203.0.113.9", true },
    { "0.0.0.0/0", "2001:db8::1", false },
    { "::/0", "2001:DB8::1", true },
    { "::/0", "10.0.0.1", false },
    { "2001:db8::/33", "2001:db8:7fff::1", true },
    { "2001:db8::/33", "2001:db8:8000::1", false },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mPrefix);
    CAPTURE(it.mAddress);
    const auto prefix = NetworkPrefix::Parse(it.mPrefix);
    const auto address = NetworkPrefix::ParseAddress(it.mAddress);
    REQUIRE(prefix);
    REQUIRE(address);
    CHECK(prefix->Contains(*address) == it.mContains);
  }
}
