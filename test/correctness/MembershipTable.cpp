#include "MembershipTable.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

TimePoint Ms(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

ZoneMember Member(const char* aName, Incarnation aIncarnation)
{
  return { InstanceName(aName), aIncarnation, "127.0.0.1", 1, 2, 0 };
}

/// Instance "a" of zone "z" with the other member "b", and "c" in zone "y".
struct Fixture
{
  ConfigurationTracker mConfiguration;
  WithdrawalSet mWithdrawals;
  CutOffKeyPolicy mCutOff{ CutOffKeyPolicy::Mode::Refuse };
  MembershipTable mTable;

  Fixture()
    : mTable(MakeOptions(), { mConfiguration, mWithdrawals, mCutOff }, Ms(0))
  {
    const ZoneView own{ ZoneName("z"), 3, { Member("a", 1), Member("b", 2) } };
    mTable.OnStoreRead(Ms(0), Result<std::string>(ZoneViewToJson(own)), "v3");
    mTable.OfferView(Ms(0), { ZoneName("y"), 5, { Member("c", 3) } });
  }

  static MembershipTable::Options MakeOptions()
  {
    MembershipTable::Options out;
    out.mZone.mZone = ZoneName("z");
    out.mZone.mSelf = Member("a", 1);
    return out;
  }

  /// Returns a peer's reply to the request that the actions send to it.
  PeerMessage ReplyTo(const MembershipActions& aActions,
                      const char* aPeer,
                      Incarnation aIncarnation,
                      peer::HeartbeatReply aBody)
  {
    PeerMessage out;
    out.mSender = InstanceName(aPeer);
    out.mIncarnation = aIncarnation;
    out.mReceiverIncarnation = 1;
    out.mIsReply = true;
    out.mBody = std::move(aBody);
    for (const auto& it : aActions) {
      const auto* send = std::get_if<act::SendPeer>(&it);
      if (send && send->mTo == out.mSender) {
        out.mRequestId = send->mMessage.mRequestId;
      }
    }
    return out;
  }
};

bool Closes(const MembershipActions& aActions, const char* aPeer)
{
  for (const auto& it : aActions) {
    const auto* close = std::get_if<act::CloseLink>(&it);
    if (close && close->mTo == InstanceName(aPeer)) {
      return true;
    }
  }
  return false;
}

} // namespace

// Guards against a silent link that stays open, a link that is closed although
// the peer answers, and a late answer on a closed link that is still accepted.
TEST_CASE("a link without an answer for 2 s is closed")
{
  Fixture fixture;
  auto& table = fixture.mTable;
  const auto first = table.Tick(Ms(0));
  const auto late = fixture.ReplyTo(first, "b", 2, { {}, true, false });
  REQUIRE(late.mRequestId != 0);
  bool isClosed = false;
  for (int ms = 100; ms < 2000; ms += 100) {
    const auto actions = table.Tick(Ms(ms));
    isClosed |= Closes(actions, "b") || Closes(actions, "c");
    const auto reply = fixture.ReplyTo(actions, "c", 3, {});
    if (reply.mRequestId != 0) {
      table.Handle(Ms(ms), reply);
    }
  }
  CHECK(!isClosed);
  const auto closing = table.Tick(Ms(2000));
  CHECK(Closes(closing, "b"));
  CHECK(!Closes(closing, "c"));
  table.Handle(Ms(2001), late);
  CHECK(!table.Zone().MayActAsOwner(Ms(2001)));
  CHECK(table.Pending().GetCounts().mLate == 1);
}

// Guards against a lease that starts when the answer arrives.
TEST_CASE("a lease starts when its request is sent")
{
  Fixture fixture;
  auto& table = fixture.mTable;
  const auto actions = table.Tick(Ms(0));
  table.Handle(Ms(1500), fixture.ReplyTo(actions, "b", 2, { {}, true, false }));
  CHECK(table.Zone().MayActAsOwner(Ms(3999)));
  CHECK(!table.Zone().MayActAsOwner(Ms(4000)));
}

// Guards against a report that counts instances without a confirmation, and
// against a contact inside the zone that counts as one outside.
TEST_CASE("withdrawals are confirmed by zone")
{
  Fixture fixture;
  auto& table = fixture.mTable;
  fixture.mWithdrawals.MarkSynchronised();
  table.Withdraw(Ms(0), KeyId("k"));
  const auto actions = table.Tick(Ms(0));
  const auto confirmed = [&](size_t aZone) {
    return table.WithdrawalReport().at(aZone).mConfirmed;
  };
  CHECK(confirmed(0) == 1);
  CHECK(confirmed(1) == 0);
  peer::HeartbeatReply lacking;
  lacking.mDigest.mZone = ZoneName("z");
  table.Handle(Ms(1), fixture.ReplyTo(actions, "b", 2, lacking));
  CHECK(confirmed(0) == 1);
  CHECK(!fixture.mCutOff.CheckKeyedRequest(Ms(1), fixture.mWithdrawals));
  peer::HeartbeatReply holding;
  holding.mDigest.mZone = ZoneName("y");
  holding.mDigest.mWithdrawnCount = 1;
  holding.mDigest.mWithdrawnHash = fixture.mWithdrawals.Hash();
  table.Handle(Ms(2), fixture.ReplyTo(actions, "c", 3, holding));
  CHECK(confirmed(1) == 1);
  CHECK(table.WithdrawalReport().at(1).mMembers == 1);
  CHECK(fixture.mCutOff.CheckKeyedRequest(Ms(5001), fixture.mWithdrawals));
  CHECK(!fixture.mCutOff.CheckKeyedRequest(Ms(5002), fixture.mWithdrawals));
}
