#include "BodyMemory.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pollenway;

// Guards against bodies that take more memory than the limits allow, and
// against a large body that is refused although it is the only one.
TEST_CASE("one body that does not fit the shared budget has one of its own")
{
  struct Row
  {
    /// Sizes that the bodies take one after the other; a body keeps its size.
    std::vector<uint64_t> mSizes;
    std::vector<bool> mAreReserved;
    uint64_t mUsed;
  };
  const Row rows[] = {
    { { 100, 1 }, { true, true }, 101 },
    { { 100, 1, 1 }, { true, true, false }, 101 },
    { { 300 }, { true }, 300 },
    { { 301 }, { false }, 0 },
    { { 300, 100 }, { true, true }, 400 },
    { { 300, 101 }, { true, false }, 300 },
    { { 60, 60, 60 }, { true, true, false }, 120 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mUsed);
    BodyMemory memory({ .mSharedBytes = 100, .mMaxSingleBytes = 300 });
    {
      std::vector<ByteBudget::Reservation> bodies(row.mSizes.size());
      for (size_t n = 0; n < bodies.size(); ++n) {
        CHECK(memory.Resize(bodies[n], row.mSizes[n]) == row.mAreReserved[n]);
      }
      CHECK(memory.Used() == row.mUsed);
    }
    CHECK(memory.Used() == 0);
  }
}

// Guards against a growing body that keeps its old reservation beside the new
// one, or loses it when there is no room.
TEST_CASE("a growing body moves out of the shared budget")
{
  BodyMemory memory({ .mSharedBytes = 100, .mMaxSingleBytes = 300 });
  ByteBudget::Reservation body;
  CHECK(memory.Resize(body, 80));
  CHECK(memory.Resize(body, 160));
  CHECK(memory.Used() == 160);
  CHECK(memory.Resize(body, 300));
  CHECK_FALSE(memory.Resize(body, 301));
  CHECK(memory.Used() == 300);
  ByteBudget::Reservation other;
  CHECK(memory.Resize(other, 100));
  CHECK_FALSE(memory.Resize(other, 101));
  body = {};
  CHECK(memory.Resize(other, 101));
  CHECK(memory.Used() == 101);
}
