// Size of a zone's view as JSON text, by number of members, after enough
// changes to fill the list of earlier views. Prints a Markdown table.

#include "ZoneView.h"

#include <cstdio>
#include <ctime>

using namespace pollenway;

int main()
{
  std::printf(
    "| members | view alone, KB | with %zu earlier views, KB | write, "
    "ms CPU | read, ms CPU |\n| --- | --- | --- | --- | --- |\n",
    kMaxEarlierHomeViews);
  for (const unsigned members : { 3U, 8U, 17U, 34U, 102U }) {
    ZoneView view;
    view.mZone = ZoneName("region-10-zone-b");
    const auto join = [&view](unsigned aNumber, uint64_t aIncarnation) {
      view = WithMember(
        view,
        { InstanceName("region-10-zone-b-" + std::to_string(100 + aNumber)),
          // As many digits as random incarnations usually have.
          10'000'000'000'000'000'000ULL + aIncarnation,
          "10.200.100." + std::to_string(aNumber),
          8080,
          7070,
          7071,
          view.mNumber });
    };
    for (unsigned n = 0; n < members; ++n) {
      join(n, n);
    }
    auto withoutEarlier = view;
    withoutEarlier.mEarlier.clear();
    // Each restart replaces one member by its next incarnation.
    for (unsigned n = 0; n < kMaxEarlierHomeViews + 2; ++n) {
      auto earlier = view.Homes().Next({}).mEarlier;
      join(n % members, 1000 + n);
      view.mEarlier = std::move(earlier);
    }
    constexpr int kRounds = 20;
    std::string text;
    auto start = std::clock();
    for (int n = 0; n < kRounds; ++n) {
      text = ZoneViewToJson(view);
    }
    const double write = double(std::clock() - start);
    start = std::clock();
    for (int n = 0; n < kRounds; ++n) {
      if (!ZoneViewFromJson(text)) {
        std::fprintf(stderr, "the JSON text of a view can't be read\n");
        return 1;
      }
    }
    const double read = double(std::clock() - start);
    const double unit = 1e3 / CLOCKS_PER_SEC / kRounds;
    std::printf("| %u | %.1f | %.1f | %.2f | %.2f |\n",
                members,
                double(ZoneViewToJson(withoutEarlier).size()) / 1e3,
                double(text.size()) / 1e3,
                write * unit,
                read * unit);
  }
  return 0;
}
