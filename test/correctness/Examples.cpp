#include "EntrySettingsReader.h"
#include "InventoryReader.h"
#include "InventoryWriter.h"
#include "SettingsFile.h"
#include "Sha256.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <set>

#include <unistd.h>

using namespace pollenway;

namespace {

struct Deployment
{
  const char* mName;
  // Slots per target of the look-up, posting and batch services.
  unsigned mSlots[3];
};

const Deployment kDeployments[] = { { "taranaki", { 9, 7, 3 } },
                                    { "asas", { 6, 4, 3 } } };

template<typename T>
void ReportErrors(const Validated<T>& aResult)
{
  if (!aResult) {
    for (const auto& it : aResult.error()) {
      FAIL_CHECK(it.mPath << " " << Name(it.mCode) << " " << it.mDetail);
    }
  }
}

Inventory ReadExample(const Deployment& aDeployment)
{
  const auto text = ReadSettingsFile(std::string("examples/") +
                                     aDeployment.mName + "/inventory.json");
  REQUIRE(text);
  const auto result = InventoryReader::Read(text.value());
  ReportErrors(result);
  REQUIRE(result);
  return result.value();
}

} // namespace

// Guards against examples that fail to load or that differ from the figures in
// the design page.
TEST_CASE("the example inventories load and have the design's figures")
{
  for (const auto& it : kDeployments) {
    CAPTURE(it.mName);
    const Inventory inventory = ReadExample(it);
    const auto again = InventoryReader::Read(InventoryWriter::Write(inventory));
    REQUIRE(again);
    CHECK(again.value() == inventory);

    REQUIRE(inventory.mRegions.size() == 3);
    CHECK(inventory.mLinks.size() == 3);
    for (const auto& link : inventory.mLinks) {
      CHECK(link.mBitsPerSecond == 4e9);
      CHECK(link.mLatencyMs == 55);
    }
    REQUIRE(inventory.mServices.size() == 3);
    const size_t expected[] = { 15, 12, 12 };
    std::map<ServiceName, std::map<PlaceName, unsigned>> targets;
    for (const auto& target : inventory.mTargets) {
      ++targets[target.mService][target.mPlace];
      const auto& services = inventory.mServices;
      const auto service = static_cast<size_t>(
        inventory.FindService(target.mService) - services.data());
      CHECK(target.mSlots == it.mSlots[service]);
      CHECK(target.mConnections == 650);
    }
    for (size_t n = 0; n < 3; ++n) {
      size_t total = 0;
      const auto& places = targets[inventory.mServices[n].mName];
      CHECK(places.size() == 6);
      for (const auto& [place, count] : places) {
        total += count;
        CHECK(count >= 2);
        CHECK(count <= 3);
      }
      CHECK(total == expected[n]);
    }
    CHECK(inventory.mWorkspaces.size() == 8);
    REQUIRE(inventory.mKeys.size() == 8);
    for (const auto& key : inventory.mKeys) {
      CHECK(key.mDigest == Sha256Hex("demo-key-" + key.mWorkspace.Text()));
    }
  }
}

// Guards against generated settings that an instance would refuse, that name an
// undeclared zone or that give two instances the same address.
TEST_CASE("the generated entry settings load and fit the inventory")
{
  namespace fs = std::filesystem;
  const fs::path root = fs::temp_directory_path() /
                        ("pollenway-settings-" + std::to_string(getpid()));
  for (const auto& it : kDeployments) {
    CAPTURE(it.mName);
    const Inventory inventory = ReadExample(it);
    const fs::path directory = root / it.mName;
    const std::string command = std::string("examples/make-settings ") +
                                it.mName + " '" + directory.string() + "'";
    REQUIRE(std::system(command.c_str()) == 0);
    std::map<ZoneName, unsigned> zones;
    std::set<std::string> addresses;
    std::set<IpEndpoint> peers;
    std::vector<IpEndpoint> seeds;
    for (const auto& file : fs::directory_iterator(directory)) {
      const auto text = ReadSettingsFile(file.path().string());
      REQUIRE(text);
      const auto settings = EntrySettingsReader::Read(text.value());
      ReportErrors(settings);
      REQUIRE(settings);
      const EntrySettings& entry = settings.value();
      CHECK(entry.mName.Text() + ".json" == file.path().filename().string());
      CHECK(inventory.RegionOfZone(entry.mZone));
      CHECK(addresses.insert(entry.mAddress).second);
      CHECK(entry.mAdminAddress == entry.mAddress);
      ++zones[entry.mZone];
      peers.insert({ entry.mAddress, entry.mPeerPort });
      seeds = entry.mSeeds;
    }
    CHECK(zones.size() == 6);
    for (const auto& [zone, count] : zones) {
      CHECK(count == 3);
    }
    CHECK(seeds.size() == 6);
    for (const auto& seed : seeds) {
      CHECK(peers.contains(seed));
    }
  }
  fs::remove_all(root);
}
