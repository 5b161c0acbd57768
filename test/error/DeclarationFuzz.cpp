#include "EntrySettingsReader.h"
#include "InventoryDiff.h"
#include "InventoryReader.h"
#include "InventoryWriter.h"
#include "Random.h"

#include "../InventorySample.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace pollenway;
using nlohmann::json;

namespace {

constexpr uint64_t kSeed = 20260101;
constexpr int kMutations = 4000;

constexpr std::string_view kSettings = R"({
  "name": "akl-a-1", "zone": "akl-a", "address": "127.3.1.1",
  "caller_port": 8080, "admin_address": "127.3.1.1",
  "platform": {"address": "127.0.0.1", "port": 8500},
  "seeds": [{"address": "127.3.1.2", "peer_port": 7070},
            {"address": "::1", "peer_port": 7070}],
  "seed": 5, "cut_off_key_policy": "refuse",
  "trusted_resolvers": ["127.0.0.0/8", "::/0"],
  "drain_timeout_ms": 2000, "log_level": "debug"
})";

// Randomly changes, removes, repeats or inserts bytes.
std::string MutateBytes(std::string aText, Random& aRandom)
{
  for (uint64_t n = 1 + aRandom.Below(3); n > 0 && !aText.empty(); --n) {
    const size_t at = aRandom.Below(aText.size());
    const size_t length = 1 + aRandom.Below(12);
    switch (aRandom.Below(4)) {
      case 0:
        aText[at] = static_cast<char>(aRandom.Next());
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(aRandom.Below(aText.size()), aText.substr(at, length));
        break;
      default:
        aText.insert(at, 1, "{}[]\",:0-e\\\n"[aRandom.Below(12)]);
        break;
    }
  }
  return aText;
}

// Replaces, repeats or removes one value; the text remains valid JSON.
std::string MutateValue(const json& aDocument, Random& aRandom)
{
  json result = aDocument;
  const json flat = aDocument.flatten();
  auto it = flat.begin();
  std::advance(it, aRandom.Below(flat.size()));
  json::json_pointer pointer(it.key());
  for (uint64_t up = aRandom.Below(3); up > 0 && !pointer.empty(); --up) {
    pointer.pop_back();
  }
  if (pointer.empty()) {
    return result.dump();
  }
  json& parent = result[pointer.parent_pointer()];
  const json value = result[pointer];
  const json replacements[] = {
    nullptr, -1,  0,    1,   3.5,           1e300,          "",
    "x",     "/", "::", "0", json::array(), json::object(), true,
  };
  switch (aRandom.Below(3)) {
    case 0:
      result[pointer] = replacements[aRandom.Below(std::size(replacements))];
      break;
    case 1:
      if (parent.is_array()) {
        parent.push_back(value);
      } else {
        parent["x~/\n"] = value;
      }
      break;
    default:
      if (parent.is_array()) {
        parent.erase(parent.size() - 1);
      } else {
        parent.erase(pointer.back());
      }
      break;
  }
  return result.dump();
}

bool IsOneLine(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aChar) {
    return static_cast<unsigned char>(aChar) < 0x20;
  });
}

void CheckErrors(const std::vector<Error>& aErrors)
{
  CHECK(!aErrors.empty());
  for (const auto& it : aErrors) {
    const auto number = static_cast<int>(it.mCode);
    CHECK(number > 100);
    CHECK(number < 200);
    CHECK(it.mPath.starts_with('/'));
    CHECK(IsOneLine(it.mPath));
    CHECK(!it.mDetail.empty());
    CHECK(IsOneLine(it.mDetail));
  }
}

} // namespace

// Guards against input that terminates the process, that is refused without
// code or path, or that is accepted although the writer cannot write it back.
TEST_CASE("mutated inventories are read back equal or refused with a path")
{
  Random random(kSeed);
  const std::string text = InventoryWriter::Write(SampleInventory());
  const json document = json::parse(text);
  int accepted = 0;
  for (int n = 0; n < kMutations; ++n) {
    const std::string mutated =
      n % 2 ? MutateBytes(text, random) : MutateValue(document, random);
    CAPTURE(n);
    CAPTURE(mutated);
    const auto result = InventoryReader::Read(mutated);
    if (!result) {
      CheckErrors(result.error());
      continue;
    }
    ++accepted;
    const auto again =
      InventoryReader::Read(InventoryWriter::Write(result.value()));
    REQUIRE(again);
    CHECK(again.value() == result.value());
  }
  MESSAGE("accepted " << accepted << " of " << kMutations);
  CHECK(accepted > 0);
  CHECK(accepted < kMutations);
}

// Guards against settings that terminate the process or are refused without
// code or path.
TEST_CASE("mutated entry settings are read or refused with a path")
{
  Random random(kSeed);
  const json document = json::parse(kSettings);
  int accepted = 0;
  for (int n = 0; n < kMutations; ++n) {
    const std::string mutated = n % 2
                                  ? MutateBytes(std::string(kSettings), random)
                                  : MutateValue(document, random);
    CAPTURE(n);
    CAPTURE(mutated);
    const auto result = EntrySettingsReader::Read(mutated);
    if (result) {
      ++accepted;
    } else {
      CheckErrors(result.error());
    }
  }
  MESSAGE("accepted " << accepted << " of " << kMutations);
  CHECK(accepted > 0);
  CHECK(accepted < kMutations);
}

// Guards against a field that the reader ignores or the comparison skips: each
// number and flag is changed in turn, and the change must be listed.
TEST_CASE("every change of a number or flag is listed")
{
  const Inventory sample = SampleInventory();
  const json document = json::parse(InventoryWriter::Write(sample));
  const json flat = document.flatten();
  int listed = 0;
  for (const auto& it : flat.items()) {
    json changed = document;
    json& value = changed[json::json_pointer(it.key())];
    if (it.key() == "/generation" || value.is_string()) {
      continue;
    }
    if (value.is_boolean()) {
      value = !value.get<bool>();
    } else if (value.is_number_integer()) {
      value = value.get<int64_t>() + 1;
    } else {
      value = value.get<double>() * 0.9 + 0.001;
    }
    CAPTURE(it.key());
    const auto result = InventoryReader::Read(changed.dump());
    REQUIRE(result);
    CHECK(InventoryDiff::Compare(sample, result.value()).size() == 1);
    ++listed;
  }
  CHECK(listed >= 30);
}
