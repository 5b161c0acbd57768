#include "ClientBlockTable.h"
#include "Random.h"

#include <doctest/doctest.h>
#include <map>

using namespace pollenway;

namespace {

IpAddress RandomAddress(Random& aRandom)
{
  // Few distinct leading bits, so that blocks nest and probe sequences overlap.
  const uint64_t high = aRandom.Next() & 0x0f03'0000'f000'0003;
  return aRandom.Chance(0.5) ? IpAddress::FromV4(uint32_t(high >> 32) |
                                                 uint32_t(aRandom.Below(512)))
                             : IpAddress::FromV6(high, aRandom.Below(4) << 62);
}

IpPrefix RandomBlock(Random& aRandom)
{
  const IpAddress address = RandomAddress(aRandom);
  return { address, unsigned(aRandom.Below(address.Bits() + 1)) };
}

using Reference = std::map<IpPrefix, RegionName>;

const Reference::value_type* FindLinear(const Reference& aBlocks,
                                        const IpAddress& aAddress)
{
  const Reference::value_type* best = nullptr;
  for (const auto& it : aBlocks) {
    if (it.first.Contains(aAddress) &&
        (!best || it.first.Length() > best->first.Length())) {
      best = &it;
    }
  }
  return best;
}

} // namespace

// Guards against wrong matches after in-place updates: an entry lost when
// another is removed in the middle of a probe sequence, or a match with a
// shorter block.
TEST_CASE("look-ups agree with a linear search under random updates")
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Random random(seed);
    ClientBlockTable table;
    Reference reference;
    for (int step = 0; step < 3000; ++step) {
      // The table first grows, then shrinks, to cover both directions of
      // resizing.
      const bool insert = random.Chance(step < 1500 ? 0.8 : 0.2);
      if (insert || reference.empty()) {
        const IpPrefix block = RandomBlock(random);
        const RegionName region("r" + std::to_string(random.Below(5)));
        const auto old = reference.find(block);
        const bool changes = old == reference.end() || old->second != region;
        REQUIRE(table.Insert(block, region).value() == changes);
        reference[block] = region;
      } else {
        auto it = reference.lower_bound(RandomBlock(random));
        it = it == reference.end() ? reference.begin() : it;
        REQUIRE(table.Remove(it->first));
        REQUIRE(!table.Remove(it->first));
        reference.erase(it);
      }
      REQUIRE(table.Size() == reference.size());
      const IpAddress address = RandomAddress(random);
      const auto found = table.Find(address);
      const auto* expected = FindLinear(reference, address);
      REQUIRE(found.has_value() == (expected != nullptr));
      if (found) {
        REQUIRE(found->mBlock == expected->first);
        REQUIRE(table.NameOf(found->mRegion) == expected->second);
      }
    }
    while (!reference.empty()) {
      REQUIRE(table.Remove(reference.begin()->first));
      reference.erase(reference.begin());
    }
    CHECK(table.Size() == 0);
    CHECK(table.Bytes() <= sizeof table);
  }
}

// Guards against a caller on a dual-stack socket that doesn't match its IPv4
// block.
TEST_CASE("an IPv4 address mapped into IPv6 matches IPv4 blocks")
{
  ClientBlockTable table;
  REQUIRE(
    table.Insert(IpPrefix::Parse("203.0.113.0/24").value(), RegionName("akl")));
  const auto address = IpAddress::Parse("::ffff:203.0.113.9").value();
  REQUIRE(table.Find(address));
  CHECK(address.Text() == "203.0.113.9");
  CHECK(!table.Find(IpAddress::Parse("::1").value()));
  CHECK(IpPrefix::Parse("2001:db8::/32").value().Text() ==
        "2001:db8:0:0:0:0:0:0/32");
}
