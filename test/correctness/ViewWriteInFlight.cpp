#include "ZoneMembership.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

ZoneMember Member(const char* aName, Incarnation aIncarnation)
{
  ZoneMember out;
  out.mName = InstanceName(aName);
  out.mIncarnation = aIncarnation;
  out.mAddress = "127.0.0.1";
  return out;
}

size_t CountWrites(const MembershipActions& aActions)
{
  size_t n = 0;
  for (const auto& it : aActions) {
    n += std::holds_alternative<act::WriteView>(it) ? 1 : 0;
  }
  return n;
}

} // namespace

// Guards against a second write of the zone view before the answer to the
// first. That answer was matched with the second write, so a member adopted a
// view that the store never held (3 of about 20 starts of the Asas example).
TEST_CASE("a watched view starts no write while another is in flight")
{
  TimePoint now{ std::chrono::seconds(100) };
  ZoneMembership::Options options;
  options.mZone = ZoneName("faro-b");
  options.mSelf = Member("faro-b-1", 11);
  ZoneMembership membership(options, now);

  size_t writes = 0;
  now += std::chrono::milliseconds(100);
  membership.Tick(now);
  writes += CountWrites(
    membership.OnStoreRead(now, Result<std::string>(std::string()), ""));
  REQUIRE(writes == 1);

  ZoneView other;
  other.mZone = options.mZone;
  other = WithMember(other, Member("faro-b-2", 22));
  other = WithMember(other, Member("faro-b-3", 33));
  writes += CountWrites(membership.OnView(now, other));
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(100);
    writes += CountWrites(membership.Tick(now));
  }
  CHECK(writes == 1);

  membership.OnStoreWrite(now, StoreWriteOutcome::Conflict, "");
  CHECK(membership.View().mNumber == 2);
  CHECK(membership.View().Contains(InstanceName("faro-b-3"), 33));
  CHECK(!membership.View().Contains(options.mSelf.mName, 11));
}
