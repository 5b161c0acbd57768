// Size of the configuration as JSON text, the time to write and read it, and
// the heap size of an Inventory, for increasing numbers of client blocks and
// targets. Prints a Markdown table. Usage: configuration_size [--seed=N]

#include "InventoryReader.h"
#include "InventoryWriter.h"
#include "IpPrefix.h"
#include "Random.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <gflags/gflags.h>
#include <malloc.h>
#include <set>
#include <sstream>

DEFINE_uint64(seed, 1, "seed of the client blocks");
DEFINE_string(inventory,
              "examples/asas/inventory.json",
              "inventory file to enlarge");

using namespace pollenway;

namespace {

size_t HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Returns the example with `aBlocks` random client blocks, and with each
/// target repeated `aTargets` times.
Inventory EnlargeInventory(const Inventory& aExample,
                           size_t aBlocks,
                           size_t aTargets)
{
  Inventory out = aExample;
  Random random(FLAGS_seed);
  std::set<std::string> seen;
  out.mClientBlocks.clear();
  while (out.mClientBlocks.size() < aBlocks) {
    const IpPrefix block(IpAddress::FromV4(uint32_t(random.Next())),
                         unsigned(16 + random.Below(9)));
    if (seen.insert(block.Text()).second) {
      out.mClientBlocks.push_back(
        { block.Text(),
          out.mRegions[random.Below(out.mRegions.size())].mName });
    }
  }
  for (size_t n = 1; n < aTargets; ++n) {
    for (auto target : aExample.mTargets) {
      target.mName = TargetName(target.mName.Text() + "-" + std::to_string(n));
      target.mPort = uint16_t(target.mPort + n * 100);
      out.mTargets.push_back(std::move(target));
    }
  }
  return out;
}

double Milliseconds(std::clock_t aSince)
{
  return 1e3 * double(std::clock() - aSince) / CLOCKS_PER_SEC;
}

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream file(FLAGS_inventory);
  std::stringstream text;
  text << file.rdbuf();
  const auto example = InventoryReader::Read(text.str());
  if (!example) {
    std::fprintf(stderr, "%s is not valid\n", FLAGS_inventory.c_str());
    return 1;
  }
  struct Row
  {
    size_t mBlocks;
    size_t mTargets;
  };
  std::printf(
    "| client blocks | targets | text, KB | write, ms CPU | read, ms CPU | "
    "heap of the inventory, KB |\n| --- | --- | --- | --- | --- | --- |\n");
  for (const Row& it : { Row{ 0, 1 },
                         Row{ 0, 10 },
                         Row{ 0, 100 },
                         Row{ 1'000, 1 },
                         Row{ 10'000, 1 },
                         Row{ 100'000, 1 } }) {
    const auto inventory =
      EnlargeInventory(example.value(), it.mBlocks, it.mTargets);
    auto start = std::clock();
    const std::string written = InventoryWriter::Write(inventory);
    const double write = Milliseconds(start);
    const size_t before = HeapBytes();
    start = std::clock();
    const auto read = InventoryReader::Read(written);
    const double readTime = Milliseconds(start);
    if (!read) {
      const Error& first = read.error().front();
      std::fprintf(stderr,
                   "the enlarged inventory is not valid: %s %s\n",
                   first.mPath.c_str(),
                   first.mDetail.c_str());
      return 1;
    }
    std::printf("| %zu | %zu | %.1f | %.2f | %.2f | %.1f |\n",
                it.mBlocks,
                inventory.mTargets.size(),
                double(written.size()) / 1e3,
                write,
                readTime,
                double(HeapBytes() - before) / 1e3);
    std::fflush(stdout);
  }
  return 0;
}
