#include "../SteeringFleet.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against answers to look-ups that must be refused.
TEST_CASE("look-ups that can't be answered are refused with their code")
{
  StandalonePolicy setup(MakeInventory(1, 1, 100));
  const TimePoint now;
  CHECK(setup.LookUp(1).mCode == ResultCode::Ok);

  const LookupRequest unknown{ .mClient = IpAddress::FromV4(1),
                               .mService = ServiceName("other"),
                               .mWorkspace = {} };
  CHECK(setup.mPolicy.Decide(unknown, now).mCode == ResultCode::NotFound);

  // A member must not use its headroom after its lease has expired.
  setup.mTracker.SetLeaseEnd(now);
  CHECK(setup.LookUp(1).mCode == ResultCode::NoHeadroom);
  setup.mTracker.SetLeaseEnd(TimePoint::max());

  // The instance is evicted: the view has only another member.
  setup.mTracker.ApplyZoneView(
    { .mNumber = 2, .mMembers = { { InstanceName("other"), 1 } } }, now);
  CHECK(setup.LookUp(1).mCode == ResultCode::NoHeadroom);

  setup.mInstances.clear();
  setup.Publish(now);
  CHECK(setup.LookUp(1).mCode == ResultCode::NoTarget);

  ClientBlockTable blocks;
  HeadroomTracker tracker(HeadroomOptions(), *MakeInventory(1, 1, 1));
  LookupPolicy empty(LookupOptions(), blocks, tracker);
  CHECK(empty.Decide(unknown, now).mCode == ResultCode::NoConfiguration);
}
