#include "ObjectHistory.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

StoreChanges Batch(uint64_t aRevision,
                   const std::string& aName,
                   std::optional<std::string> aValue)
{
  StoreChanges out;
  out.mRevision = aRevision;
  out.mChanges.push_back({ "k", aName, aRevision, std::move(aValue) });
  return out;
}

} // namespace

// Guards against missed changes when an instance continues from another
// revision than the end of its last batch.
TEST_CASE("changes are found from any revision after the listing")
{
  ObjectHistory history;
  history.Replace({ 10, { { "a", 4, "1" }, { "b", 9, "1" } } });
  history.Append(Batch(15, "a", "2"));
  history.Append(Batch(20, "b", std::nullopt));

  struct Row
  {
    uint64_t mAfter;
    size_t mChanges;
    uint64_t mRevision;
  };
  const Row rows[] = {
    { 10, 2, 20 },
    // A revision in the middle of a batch returns the whole batch again.
    { 12, 2, 20 },
    { 15, 1, 20 },
    { 20, 0, 20 },
    // The requester has read further at the store itself.
    { 25, 0, 25 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mAfter);
    const auto changes = history.Since(row.mAfter);
    REQUIRE(changes);
    CHECK(changes->mChanges.size() == row.mChanges);
    CHECK(changes->mRevision == row.mRevision);
  }
  const auto listing = history.Listing();
  CHECK(listing.mRevision == 20);
  REQUIRE(listing.mObjects.size() == 1);
  CHECK(listing.mObjects[0].mValue == "2");
}

// Guards against an undetected gap: changes before a listing, and those
// discarded to save space, are not available.
TEST_CASE("a gap in the history requires a listing")
{
  ObjectHistory history;
  history.Replace({ 10, {} });
  CHECK_FALSE(history.Since(9));
  for (uint64_t n = 0; n <= ObjectHistory::kMaxBatches; ++n) {
    history.Append(Batch(11 + n, "a", "x"));
  }
  CHECK_FALSE(history.Since(10));
  REQUIRE(history.Since(11));
  CHECK(history.Since(11)->mChanges.size() == ObjectHistory::kMaxBatches);
  history.Replace({ 500, {} });
  CHECK_FALSE(history.Since(499));
  CHECK(history.Since(500));
}
