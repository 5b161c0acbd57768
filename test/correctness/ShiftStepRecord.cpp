#include "ShiftStepRecord.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against steps earlier than the pace allows, in particular after an
// interrupted command, a step not made by the command, or a clock that was set
// back.
TEST_CASE("the pace counts from the last step")
{
  struct Row
  {
    const char* mName;
    double mShare;
    std::optional<ShiftStepRecord> mRecord;
    int64_t mWaitMs;
    bool mIsLastStepUnknown;
  };
  const Row rows[] = {
    { "first step", 0, std::nullopt, 0, false },
    { "step without record", 0.1, std::nullopt, 5000, true },
    { "too early", 0.1, ShiftStepRecord{ 0.1, 9'000 }, 4000, false },
    { "in time", 0.1, ShiftStepRecord{ 0.1, 5'000 }, 0, false },
    { "recorded, not made", 0.1, ShiftStepRecord{ 0.2, 0 }, 5000, true },
    { "rolled back", 0, ShiftStepRecord{ 0.2, 0 }, 5000, true },
    { "clock set back", 0.1, ShiftStepRecord{ 0.1, 60'000 }, 5000, false },
  };
  ShiftDeclaration shift;
  shift.mPace = std::chrono::seconds(5);
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    shift.mShare = row.mShare;
    const auto check = CheckPace(shift, row.mRecord, 10'000);
    CHECK(check.mWaitMs == row.mWaitMs);
    CHECK(check.mIsLastStepUnknown == row.mIsLastStepUnknown);
  }
}

// Guards against a share that is not read back from the store exactly: the time
// of the last step would always be unknown.
TEST_CASE("records survive the store")
{
  const ShiftStepRecord record{ 0.1 + 0.2, 1'700'000'000'123 };
  const auto read = ShiftStepRecord::Parse(record.ToJson());
  REQUIRE(read);
  CHECK(read.value().mShare == record.mShare);
  CHECK(read.value().mUnixMs == record.mUnixMs);
  CHECK(!ShiftStepRecord::Parse("{"));
  CHECK(!ShiftStepRecord::Parse(R"({"share":"x","at_ms":1})"));
}
