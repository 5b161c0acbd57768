#include "AccountHolder.h"

#include <doctest/doctest.h>

using namespace pollenway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ZoneName kZone("zone-a");
const ZoneName kOther("zone-b");
const InstanceName kSelf("self");
const TimePoint kStart{ seconds(100) };

AccountHolder MakeHolder()
{
  AccountHolder holder(
    kSelf, kZone, { { kOther, milliseconds(5) } }, AccountHolder::Options{});
  holder.SetTotal(1, 10, 8, kStart);
  return holder;
}

/// Returns an active holder with half of the rate and burst as of `kStart`.
AccountHolder MakeActiveHolder()
{
  AccountHolder holder = MakeHolder();
  holder.BeginTakeover(1, {}, kStart);
  holder.OnStoreRead(*holder.NeededRead(), std::nullopt, kStart);
  const auto write = holder.NextWrite(kStart, true);
  REQUIRE(write);
  holder.OnWriteResult(write->mSerial, MoveOutcome::Committed, kStart);
  return holder;
}

AdmitRequest Request(uint64_t aId, uint32_t aCount = 1)
{
  return { .mId = aId,
           .mFrom = InstanceName("client"),
           .mZone = kZone,
           .mCount = aCount,
           .mValidity = milliseconds(100) };
}

uint32_t Granted(const AccountHolder::Actions& aActions)
{
  uint32_t sum = 0;
  for (const auto& it : aActions.mReplies) {
    sum += it.mReply.mGranted;
  }
  return sum;
}

} // namespace

// Guards against grants by a paused owner after its lease has expired.
TEST_CASE("an owner without a valid lease grants nothing")
{
  AccountHolder holder = MakeActiveHolder();
  const TimePoint now = kStart + seconds(5);
  const auto actions = holder.Admit(Request(1), now, false);
  REQUIRE(actions.mReplies.size() == 1);
  CHECK(actions.mReplies[0].mReply.mCode == ResultCode::LimitOwnerUnavailable);
  CHECK(holder.Tokens(now) == doctest::Approx(4));
}

// Guards against granting new tokens while a predecessor's grants are
// unexpired.
TEST_CASE("a new owner without a handover refills after old grants expired")
{
  AccountHolder holder = MakeActiveHolder();
  const Duration wait = HoldTime(kMaxGrantValidity);
  CHECK(holder.Tokens(kStart + wait) == 0);
  CHECK(holder.Tokens(kStart + wait + seconds(1)) > 0);
}

// Guards against two owners, and against tokens or holds that are lost when a
// handover request is repeated.
TEST_CASE("an account is handed over once, with tokens and holds")
{
  AccountHolder old = MakeActiveHolder();
  const TimePoint now = kStart + seconds(5);
  CHECK(Granted(old.Admit(Request(1), now, true)) == 1);
  AccountHolder::Actions actions;
  const auto first = old.HandOver(2, now, actions);
  REQUIRE(first);
  REQUIRE(first->mState);
  const auto repeat = old.HandOver(2, now + seconds(1), actions);
  REQUIRE(repeat);
  REQUIRE(repeat->mState);
  CHECK(repeat->mState->mTokens == first->mState->mTokens);
  CHECK(Granted(old.Admit(Request(2), now, true)) == 0);
  CHECK(!old.HandOver(1, now, actions));
  const auto later = old.HandOver(3, now, actions);
  REQUIRE(later);
  CHECK(!later->mState);

  AccountHolder next = MakeHolder();
  next.BeginTakeover(2, { kSelf, InstanceName("third") }, now);
  next.OnHandoverAnswer(kSelf, *later, now);
  CHECK_MESSAGE(!next.IsActive(), "accepted an answer of another view");
  next.OnHandoverAnswer(kSelf, *first, now);
  CHECK(next.IsActive());
  CHECK(next.Tokens(now) == doctest::Approx(3));
  CHECK(next.Held(now) == doctest::Approx(1));
  CHECK(next.Tokens(now + milliseconds(90)) == doctest::Approx(3));
}

// Guards against a receiving zone that uses a share whose tokens are still in
// use in the giving zone, and against the giving zone using it while the
// outcome of the write is unknown.
TEST_CASE(
  "a zone lowers its share before a move and keeps it low if unresolved")
{
  AccountHolder holder = MakeActiveHolder();
  const TimePoint now = kStart + seconds(10);
  holder.OnZoneReport(kOther, 1000, 0, now);
  for (uint64_t n = 1; n <= 4; ++n) {
    CHECK(Granted(holder.Admit(Request(n), now, true)) == 1);
  }
  (void)holder.OnTimer(now, true);
  CHECK(holder.Balancer().UsableFraction() < Allotment::kWhole / 2);
  CHECK(!holder.NextWrite(now, true));
  const TimePoint later = now + milliseconds(200);
  const auto write = holder.NextWrite(later, true);
  REQUIRE(write);
  holder.OnWriteResult(write->mSerial, MoveOutcome::Unknown, later);
  const uint32_t low = holder.Balancer().UsableFraction();
  CHECK(low == write->mValue.Fraction(kZone));
  holder.OnStoreRead(
    *holder.NeededRead(), Allotment::Equal({ kZone, kOther }), later);
  CHECK(holder.Balancer().UsableFraction() == low);
  CHECK(holder.NextWrite(later + seconds(2), true));

  AccountHolder::Actions actions;
  const auto answer = holder.HandOver(2, later, actions);
  REQUIRE(answer);
  AccountHolder next = MakeHolder();
  next.BeginTakeover(2, { kSelf }, later);
  next.OnHandoverAnswer(kSelf, *answer, later);
  CHECK(next.Balancer().UsableFraction() == low);
}

// Guards against a delayed write of an evicted predecessor.
TEST_CASE("a new owner without a handover commits before it uses the share")
{
  AccountHolder holder = MakeHolder();
  const Allotment read = Allotment::Equal({ kZone, kOther });
  holder.BeginTakeover(1, {}, kStart);
  holder.OnStoreRead(*holder.NeededRead(), read, kStart);
  CHECK(holder.Balancer().UsableFraction() == 0);
  const auto write = holder.NextWrite(kStart, true);
  REQUIRE(write);
  CHECK(write->mBaseVersion == read.Version());
  CHECK(write->mValue.Fractions() == read.Fractions());
  holder.OnWriteResult(write->mSerial, MoveOutcome::Committed, kStart);
  CHECK(holder.Balancer().UsableFraction() == Allotment::kWhole / 2);
}

// Guards against using tokens that the granting zone considers expired.
TEST_CASE("tokens in a late answer of another owner are discarded")
{
  AccountHolder holder = MakeActiveHolder();
  holder.OnZoneReport(kOther, 1, 4, kStart);
  const auto asked = holder.Admit(Request(1), kStart, true);
  REQUIRE(asked.mRequests.size() == 1);
  const AdmitReply reply{ .mId = asked.mRequests[0].mRequest.mId,
                          .mZone = kOther,
                          .mCode = ResultCode::Ok,
                          .mGranted = 1 };
  const TimePoint late = kStart + asked.mRequests[0].mRequest.mValidity;
  CHECK(Granted(holder.OnReply(reply, late, true)) == 0);
}

// Guards against adopting an older allotment or total (I10).
TEST_CASE("versions and generations never decrease")
{
  AccountHolder holder = MakeActiveHolder();
  const Allotment first = *holder.Balancer().Committed();
  const Allotment next = first.Moved(kZone, kOther, 100);
  holder.OnCommitted(next, kStart);
  holder.OnCommitted(first, kStart);
  CHECK(*holder.Balancer().Committed() == next);
  holder.SetTotal(3, 20, 10, kStart);
  holder.SetTotal(2, 90, 90, kStart);
  CHECK(holder.Generation() == 3);
}
