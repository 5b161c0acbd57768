#include "TrafficShift.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against commands that take effect in a state in which they are not
// allowed.
TEST_CASE("operators' commands are refused in the wrong state")
{
  using Command = Result<ShiftDeclaration> (*)(const ShiftDeclaration&);
  struct Row
  {
    Command mCommand;
    ShiftState mState;
    bool mIsAllowed;
  };
  const Row rows[] = {
    { &TrafficShift::Resume, ShiftState::Paused, true },
    { &TrafficShift::Resume, ShiftState::Running, false },
    { &TrafficShift::Resume, ShiftState::RolledBack, false },
    { &TrafficShift::Resume, ShiftState::Done, false },
    { &TrafficShift::Pause, ShiftState::Running, true },
    { &TrafficShift::Pause, ShiftState::Paused, false },
    { &TrafficShift::RollBack, ShiftState::Done, true },
    { &TrafficShift::RollBack, ShiftState::RolledBack, false },
  };
  for (const auto& row : rows) {
    CAPTURE(int(row.mState));
    ShiftDeclaration shift;
    shift.mName = ShiftName("s");
    shift.mState = row.mState;
    shift.mShare = 0.5;
    const auto result = row.mCommand(shift);
    REQUIRE(result.has_value() == row.mIsAllowed);
    if (!result) {
      CHECK(result.error().mCode == ResultCode::InvalidState);
    } else if (row.mCommand == &TrafficShift::RollBack) {
      CHECK(!TrafficShift::IsMoved(result.value(), 0));
    }
  }
}
