// Memory use and speed of ClientBlockTable. Four fifths of the blocks are IPv4
// /16 to /24 and a fifth IPv6 /32 to /48, with uniformly random addresses and
// lengths.
#include "ClientBlockTable.h"
#include "Random.h"

#include <benchmark/benchmark.h>
#include <memory>

using namespace pollenway;

namespace {

constexpr uint64_t kSeed = 20241;

IpPrefix RandomBlock(Random& aRandom)
{
  if (aRandom.Chance(0.2)) {
    // 2000::/3, the global unicast range.
    const uint64_t high = 0x2000ULL << 48 | aRandom.Next() >> 3;
    return { IpAddress::FromV6(high, 0), unsigned(32 + aRandom.Below(17)) };
  }
  return { IpAddress::FromV4(uint32_t(aRandom.Next())),
           unsigned(16 + aRandom.Below(9)) };
}

struct Fixture
{
  ClientBlockTable mTable;
  std::vector<IpPrefix> mBlocks;

  explicit Fixture(size_t aSize)
  {
    Random random(kSeed);
    while (mTable.Size() < aSize) {
      const size_t before = mTable.Size();
      const IpPrefix block = RandomBlock(random);
      const RegionName region("region" + std::to_string(random.Below(1200)));
      if (mTable.Insert(block, region) && mTable.Size() > before) {
        mBlocks.push_back(block);
      }
    }
  }
};

Fixture& FixtureOf(size_t aSize)
{
  // Only one fixture exists at a time, to limit memory use to the largest.
  static std::unique_ptr<Fixture> fixture;
  if (!fixture || fixture->mTable.Size() != aSize) {
    fixture.reset();
    fixture = std::make_unique<Fixture>(aSize);
  }
  return *fixture;
}

/// Half of the addresses are inside a random block, half are uniformly random.
void LookUp(benchmark::State& aState)
{
  const Fixture& fixture = FixtureOf(size_t(aState.range(0)));
  Random random(kSeed + 1);
  std::vector<IpAddress> addresses;
  for (size_t i = 0; i < 1 << 20; ++i) {
    const auto& block = fixture.mBlocks[random.Below(fixture.mBlocks.size())];
    addresses.push_back(i % 2 ? block.Address()
                              : RandomBlock(random).Address());
  }
  size_t n = 0;
  size_t found = 0;
  for (auto _ : aState) {
    found +=
      fixture.mTable.Find(addresses[n++ & (addresses.size() - 1)]).has_value();
  }
  benchmark::DoNotOptimize(found);
  aState.counters["bytes_per_block"] =
    double(fixture.mTable.Bytes()) / double(fixture.mTable.Size());
  aState.counters["total_MB"] = double(fixture.mTable.Bytes()) / 1e6;
  aState.counters["found_share"] = double(found) / double(n);
}

/// Removes a random block and inserts it again with another region.
void Update(benchmark::State& aState)
{
  Fixture& fixture = FixtureOf(size_t(aState.range(0)));
  Random random(kSeed + 2);
  const RegionName region("region1");
  for (auto _ : aState) {
    const auto& block = fixture.mBlocks[random.Below(fixture.mBlocks.size())];
    benchmark::DoNotOptimize(fixture.mTable.Remove(block));
    benchmark::DoNotOptimize(fixture.mTable.Insert(block, region).has_value());
  }
  aState.SetLabel("two updates a round");
}

BENCHMARK(LookUp)->Arg(35'000)->Arg(350'000)->Arg(3'500'000);
BENCHMARK(Update)->Arg(35'000)->Arg(350'000)->Arg(3'500'000);

} // namespace

BENCHMARK_MAIN();
