#include "GrantorLease.h"
#include "MemberLease.h"
#include "ZoneMembership.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

ZoneMember Member(const char* aName, Incarnation aIncarnation)
{
  return { InstanceName(aName), aIncarnation, "127.0.0.1", 1, 2, 0 };
}

ZoneView ViewOf(uint64_t aNumber, std::vector<ZoneMember> aMembers)
{
  return { ZoneName("z"), aNumber, std::move(aMembers) };
}

TimePoint Ms(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

const InstanceName kA("a");
const InstanceName kB("b");

template<typename Action>
const Action* Find(const MembershipActions& aActions)
{
  for (const auto& it : aActions) {
    if (const auto* found = std::get_if<Action>(&it)) {
      return found;
    }
  }
  return nullptr;
}

ZoneMembership::Options OptionsOf(const char* aName, Incarnation aIncarnation)
{
  ZoneMembership::Options out;
  out.mZone = ZoneName("z");
  out.mSelf = Member(aName, aIncarnation);
  return out;
}

} // namespace

// Guards against a lease that starts when the answer arrives instead of when
// the request was sent, and against one that an evicted grantor granted.
TEST_CASE("a member's lease ends 4 s after the request was sent")
{
  MemberLease lease;
  CHECK(!lease.IsValid(Ms(0)));
  lease.RecordGrant(kA, 1, Ms(1000));
  lease.RecordGrant(kB, 1, Ms(500));
  CHECK(lease.IsValid(Ms(4999)));
  CHECK(!lease.IsValid(Ms(5000)));
  lease.RecordGrant(kA, 1, Ms(900)); // Late answer to an older request.
  CHECK(lease.IsValid(Ms(4999)));
  lease.RemoveGrants(kA);
  CHECK(lease.IsValid(Ms(4499)));
  CHECK(!lease.IsValid(Ms(4500)));
}

// Guards against a confirmation while a lease may still be valid, and against a
// grant after a confirmation.
TEST_CASE("a grantor confirms late and never grants afterwards")
{
  GrantorLease grantor;
  CHECK(!grantor.GrantLease(kA, 1, Ms(0)));
  grantor.AdoptView(ViewOf(1, { Member("a", 1), Member("b", 1) }), Ms(0));
  // The start of the grantor counts as the removal of a member.
  CHECK(!grantor.ConfirmEviction(kA, 1, Ms(5999)));
  CHECK(grantor.GrantLease(kA, 1, Ms(3000)));
  CHECK(!grantor.GrantLease(kA, 2, Ms(3000)));
  CHECK(!grantor.ConfirmEviction(kA, 1, Ms(8999)));
  CHECK(!grantor.ConfirmEviction(kA, 2, Ms(9000)));
  CHECK(grantor.ConfirmEviction(kA, 1, Ms(9000)));
  CHECK(!grantor.GrantLease(kA, 1, Ms(9001)));
  CHECK(grantor.GrantLease(kB, 1, Ms(9001)));
  // A new incarnation of the instance is another member.
  grantor.AdoptView(ViewOf(2, { Member("a", 2), Member("b", 1) }), Ms(9100));
  CHECK(grantor.GrantLease(kA, 2, Ms(9200)));
  grantor.Stop();
  CHECK(!grantor.GrantLease(kA, 2, Ms(9300)));
}

// Guards against an eviction with the confirmations of the remaining grantors
// only, although a grantor that has just left granted a lease before it left.
TEST_CASE("a grantor waits 6 s after a member has left the view")
{
  GrantorLease grantor;
  const auto a = Member("a", 1);
  const auto b = Member("b", 1);
  const auto c = Member("c", 1);
  grantor.AdoptView(ViewOf(1, { a, b, c }), Ms(0));
  CHECK(grantor.ConfirmEviction(kA, 1, Ms(6000)));
  grantor.AdoptView(ViewOf(2, { a, b }), Ms(7000));
  CHECK(!grantor.ConfirmEviction(kA, 1, Ms(12'999)));
  CHECK(grantor.ConfirmEviction(kA, 1, Ms(13'000)));
  // A join alone causes no delay; a skipped view may have removed a member.
  grantor.AdoptView(ViewOf(3, { a, b, c }), Ms(14'000));
  CHECK(grantor.ConfirmEviction(kA, 1, Ms(14'000)));
  grantor.AdoptView(ViewOf(5, { a, b, c }), Ms(15'000));
  CHECK(!grantor.ConfirmEviction(kA, 1, Ms(20'999)));
}

// Guards against a second member that joins without the knowledge of the only
// member, which uses what it owns without a lease.
TEST_CASE("only the sole member adds the second one")
{
  const auto view = ViewOf(4, { Member("a", 1) });
  const Result<std::string> text(ZoneViewToJson(view));

  ZoneMembership joiner(OptionsOf("b", 2), Ms(0));
  CHECK(Find<act::ReadView>(joiner.Tick(Ms(0))));
  const auto asked = joiner.OnStoreRead(Ms(1), text, "v4");
  CHECK(Find<act::RequestJoin>(asked));
  CHECK(!Find<act::WriteView>(asked));

  ZoneMembership sole(OptionsOf("a", 1), Ms(0));
  sole.OnStoreRead(Ms(1), text, "v4");
  REQUIRE(sole.GetState() == ZoneMembership::State::Member);
  CHECK(sole.MayActAsOwner(Ms(60'000)));
  REQUIRE(Find<act::ReadView>(sole.OnJoinRequest(Ms(2000), Member("b", 2))));
  const auto proposed = sole.OnStoreRead(Ms(2001), text, "v4");
  const auto* write = Find<act::WriteView>(proposed);
  REQUIRE(write);
  CHECK(write->mVersion == "v4");
  // The answer is lost. The write may have taken effect, so the member
  // needs a lease.
  sole.OnStoreWrite(Ms(3000), StoreWriteOutcome::Unknown, "");
  CHECK(sole.MayActAsOwner(Ms(6000)));
  CHECK(!sole.MayActAsOwner(Ms(6001)));
  // The read shows that the view was written.
  sole.OnStoreRead(Ms(6100), Result<std::string>(write->mText), "v5");
  CHECK(sole.View().mMembers.size() == 2);
  CHECK(!sole.MayActAsOwner(Ms(6100)));
  sole.OnLeaseGranted(kB, 2, Ms(6050));
  CHECK(sole.MayActAsOwner(Ms(10'049)));
  CHECK(!sole.MayActAsOwner(Ms(10'050)));
}

// Guards against an instance that joins twice after a lost answer, or that
// returns as an incarnation that was already removed.
TEST_CASE("lost answers of a join are resolved by reading back")
{
  const auto before = ViewOf(4, { Member("a", 1), Member("c", 1) });
  const Result<std::string> text(ZoneViewToJson(before));
  for (const bool isRemovedSince : { false, true }) {
    ZoneMembership joiner(OptionsOf("b", 2), Ms(0));
    const auto actions = joiner.OnStoreRead(Ms(1), text, "v4");
    const auto* write = Find<act::WriteView>(actions);
    REQUIRE(write);
    joiner.OnStoreWrite(Ms(1000), StoreWriteOutcome::Unknown, "");
    auto now = ZoneViewFromJson(write->mText).value();
    if (isRemovedSince) {
      now = WithoutMember(now, kB, 2);
    }
    joiner.OnStoreRead(Ms(2000), Result<std::string>(ZoneViewToJson(now)), "v");
    CHECK(joiner.GetState() == (isRemovedSince
                                  ? ZoneMembership::State::Ended
                                  : ZoneMembership::State::Member));
    CHECK(joiner.View().mNumber == (isRemovedSince ? 6 : 5));
  }
}

// Guards against a view with a lower number or of another zone that replaces
// the one in force.
TEST_CASE("stale views and views of other zones are refused")
{
  ZoneMembership member(OptionsOf("a", 1), Ms(0));
  const auto view = ViewOf(4, { Member("a", 1), Member("b", 1) });
  member.OnStoreRead(Ms(1), Result<std::string>(ZoneViewToJson(view)), "v4");
  REQUIRE(member.ActingView() == 4);
  member.OnView(Ms(2), ViewOf(3, { Member("b", 1) }));
  member.OnStoreRead(Ms(2), Result<std::string>(""), "");
  auto remote = ViewOf(9, {});
  remote.mZone = ZoneName("other");
  member.OnView(Ms(3), remote);
  CHECK(Find<act::LogWarning>(member.OnStoreRead(
    Ms(4), Result<std::string>(ZoneViewToJson(remote)), "x")));
  CHECK(member.ActingView() == 4);
  // A view without this incarnation ends it at once.
  member.OnLeaseGranted(kB, 1, Ms(4));
  CHECK(member.MayActAsOwner(Ms(5)));
  CHECK(Find<act::Ended>(member.OnView(Ms(5), ViewOf(5, { Member("b", 1) }))));
  CHECK(!member.MayActAsOwner(Ms(5)));
}

// Guards against a member that keeps the lease from a grantor whose eviction it
// has confirmed: the others may then evict it without asking that grantor.
TEST_CASE("a member that confirms an eviction loses that member's grants")
{
  ZoneMembership member(OptionsOf("a", 1), Ms(0));
  const auto view = ViewOf(4, { Member("a", 1), Member("b", 1) });
  member.OnStoreRead(Ms(0), Result<std::string>(ZoneViewToJson(view)), "v4");
  member.OnLeaseGranted(kB, 1, Ms(6000));
  CHECK(member.MayActAsOwner(Ms(6001)));
  const peer::EvictConfirm otherView{ ZoneName("z"), 3, kB, 1 };
  CHECK(!member.OnEvictConfirmRequest(Ms(6001), otherView));
  const peer::EvictConfirm request{ ZoneName("z"), 4, kB, 1 };
  CHECK(member.OnEvictConfirmRequest(Ms(6001), request));
  CHECK(!member.MayActAsOwner(Ms(6001)));
  member.OnLeaseGranted(kB, 1, Ms(6002));
  CHECK(!member.MayActAsOwner(Ms(6003)));
  CHECK(!member.OnLeaseRequest(Ms(6003), kB, 1));
}
