#include "InventoryReader.h"
#include "InventoryWriter.h"

#include "../InventorySample.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a field that the writer omits or the reader ignores: an
// inventory in which every field differs from its default must be unchanged
// after writing and reading.
TEST_CASE("a written inventory reads back equal")
{
  const Inventory inventory = SampleInventory();
  const std::string text = InventoryWriter::Write(inventory);
  CAPTURE(text);
  const auto read = InventoryReader::Read(text);
  if (!read) {
    for (const auto& it : read.error()) {
      FAIL_CHECK(it.mPath << " " << Name(it.mCode) << " " << it.mDetail);
    }
    return;
  }
  CHECK(read.value() == inventory);
  CHECK(InventoryWriter::Write(read.value()) == text);
}
