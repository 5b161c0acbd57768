#include "ConfigurationTracker.h"
#include "CutOffKeyPolicy.h"
#include "HashOf.h"
#include "Inventory.h"
#include "KeyTable.h"
#include "PendingRequests.h"
#include "Sha256.h"
#include "WithdrawalSet.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

TimePoint Ms(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

} // namespace

// Guards against a configuration that reverts to a lower generation from any
// source.
TEST_CASE("only a higher generation is accepted")
{
  using PeerAction = ConfigurationTracker::PeerAction;
  ConfigurationTracker tracker;
  CHECK(!tracker.HasConfiguration());
  CHECK(tracker.OnPeerGeneration(7, 1, Ms(0)) == PeerAction::Fetch);
  CHECK(tracker.OnPeerGeneration(7, 1, Ms(999)) == PeerAction::Nothing);
  CHECK(tracker.OnPeerGeneration(8, 1, Ms(999)) == PeerAction::Fetch);
  CHECK(tracker.OnPeerGeneration(8, 1, Ms(1999)) == PeerAction::Fetch);
  CHECK(tracker.Accept(8, "eight").value());
  CHECK(!tracker.Accept(8, "eight").value());
  CHECK(tracker.Accept(8, "other").error().mCode == ResultCode::Conflict);
  CHECK(tracker.Accept(7, "seven").error().mCode == ResultCode::InvalidState);
  CHECK(tracker.Accept(0, "").error().mCode == ResultCode::InvalidState);
  CHECK(tracker.Text() == "eight");
  CHECK(tracker.OnPeerGeneration(8, HashOf({ "eight" }), Ms(2000)) ==
        PeerAction::Nothing);
  CHECK(tracker.OnPeerGeneration(8, 1, Ms(2000)) == PeerAction::ContentDiffers);
  CHECK(tracker.OnPeerGeneration(7, 1, Ms(2000)) == PeerAction::Send);
  CHECK(tracker.GetCounts().mRefusedLower == 2);
  CHECK(tracker.GetCounts().mContentDiffers == 2);
}

// Guards against a key that yields the wrong workspace or the wrong error.
TEST_CASE("keys are authenticated by their digest")
{
  Inventory inventory;
  const WorkspaceName till("till");
  inventory.mKeys = {
    { KeyId("k1"), till, Sha256Hex("one"), false },
    { KeyId("k2"), till, Sha256Hex("two"), true },
    { KeyId("k3"), till, Sha256Hex("three"), false },
  };
  const KeyTable table(inventory);
  WithdrawalSet withdrawn;
  withdrawn.Add(KeyId("k3"));
  CHECK(table.Authenticate("one", withdrawn).value() == till);
  struct Row
  {
    const char* mKey;
    ResultCode mCode;
  };
  const Row rows[] = {
    { "", ResultCode::MissingKey },
    { "One", ResultCode::UnknownKey },
    { "two", ResultCode::WithdrawnKey },
    { "three", ResultCode::WithdrawnKey },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mKey);
    CHECK(table.Authenticate(it.mKey, withdrawn).error().mCode == it.mCode);
  }
  // The digest itself is not a valid key.
  CHECK(!table.Authenticate(Sha256Hex("one"), withdrawn));
}

// Guards against a withdrawal that is removed while a peer's configuration, or
// one that has not been received yet, has the key's record.
TEST_CASE("a withdrawal ends only with the key's record")
{
  const KeyId k1("k1");
  const KeyId k2("k2");
  WithdrawalSet a;
  WithdrawalSet b;
  a.OnConfiguration(5, { k1, k2 });
  b.OnConfiguration(4, { k1 });
  CHECK(a.Add(k1));
  CHECK(!a.Add(k1));
  CHECK(a.Add(k2));
  CHECK(b.Merge(a.All()).size() == 2);
  CHECK(a.Count() == b.Count());
  CHECK(a.Hash() == b.Hash());
  // k2 has no record in generation 4, but has one in 5, which is not received
  // yet.
  CHECK(b.IsWithdrawn(k2));
  b.OnConfiguration(5, { k1, k2 });
  CHECK(b.IsWithdrawn(k2));
  a.OnConfiguration(6, { k1 });
  CHECK(!a.IsWithdrawn(k2));
  CHECK(a.IsWithdrawn(k1));
  // A peer at generation 5 does not add it again.
  CHECK(a.Merge(b.All()).empty());
  CHECK(a.Hash() != b.Hash());
  b.OnConfiguration(6, { k1 });
  CHECK(a.Hash() == b.Hash());
  // A withdrawal is kept if no instance has seen the key's record yet.
  CHECK(a.Add(KeyId("k9")));
  a.OnConfiguration(7, { k1 });
  CHECK(a.IsWithdrawn(KeyId("k9")));
}

// Guards against keyed requests served by a process that does not know the
// withdrawals, or refused although the policy is to serve.
TEST_CASE("the cut-off policy decides on keyed requests")
{
  WithdrawalSet set;
  CutOffKeyPolicy serve(CutOffKeyPolicy::Mode::Serve);
  CutOffKeyPolicy refuse(CutOffKeyPolicy::Mode::Refuse);
  serve.RecordContact(Ms(0));
  CHECK(!serve.CheckKeyedRequest(Ms(1), set));
  set.MarkSynchronised();
  CHECK(serve.CheckKeyedRequest(Ms(60'000), set));
  CHECK(!refuse.CheckKeyedRequest(Ms(0), set));
  refuse.RecordContact(Ms(1000));
  CHECK(refuse.CheckKeyedRequest(Ms(5999), set));
  const auto out = refuse.CheckKeyedRequest(Ms(6000), set);
  REQUIRE(!out);
  CHECK(out.error().mCode == ResultCode::KeyPolicyCutOff);
}

// Guards against an answer that is matched with another request, another
// incarnation or an expired request.
TEST_CASE("answers are matched by request id and incarnation")
{
  PendingRequests pending(42);
  const InstanceName peer("p");
  const auto replyTo = [&](uint64_t aId) {
    PeerMessage out;
    out.mSender = peer;
    out.mIncarnation = 7;
    out.mReceiverIncarnation = 42;
    out.mRequestId = aId;
    out.mIsReply = true;
    out.mBody = peer::HeartbeatReply{};
    return out;
  };
  const auto add = [&] {
    return pending.Add(peer, 7, PeerKind::HeartbeatReply, Ms(0), 2s);
  };
  const auto id = add();
  auto wrong = replyTo(id);
  wrong.mIncarnation = 8;
  CHECK(!pending.Match(wrong, Ms(1)));
  wrong = replyTo(id);
  wrong.mReceiverIncarnation = 41;
  CHECK(!pending.Match(wrong, Ms(1)));
  wrong = replyTo(id);
  wrong.mSender = InstanceName("q");
  CHECK(!pending.Match(wrong, Ms(1)));
  wrong = replyTo(id);
  wrong.mBody = peer::AdmitReply{};
  CHECK(!pending.Match(wrong, Ms(1)));
  CHECK(!pending.Match(replyTo(id + 1), Ms(1)));
  CHECK(pending.GetCounts().mMismatched == 5);
  CHECK(pending.Match(replyTo(id), Ms(1))->mSentAt == Ms(0));
  CHECK(!pending.Match(replyTo(id), Ms(2)));
  CHECK(pending.GetCounts().mRepeated == 1);
  const auto late = add();
  CHECK(!pending.Match(replyTo(late), Ms(2000)));
  const auto expired = add();
  CHECK(pending.Expire(Ms(2000)).size() == 1);
  CHECK(!pending.Match(replyTo(expired), Ms(2001)));
  CHECK(pending.GetCounts().mLate == 2);
  const auto abandoned = add();
  pending.Abandon(peer);
  CHECK(!pending.Match(replyTo(abandoned), Ms(1)));
  CHECK(pending.Size() == 0);
}
