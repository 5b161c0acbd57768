#include "ByteBudget.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against reservations above the limit, and against bytes that stay
// reserved after their request has ended.
TEST_CASE("reservations end with their holders")
{
  ByteBudget budget(100);
  {
    const auto first = budget.Reserve(60);
    CHECK(bool(first));
    CHECK_FALSE(bool(budget.Reserve(41)));
    auto second = budget.Reserve(40);
    CHECK(bool(second));
    ByteBudget::Reservation moved;
    moved = std::move(second);
    CHECK(budget.Used() == 100);
  }
  CHECK(budget.Used() == 0);
  CHECK_FALSE(bool(budget.Reserve(101)));
  CHECK_FALSE(bool(budget.Reserve(UINT64_MAX)));
}
