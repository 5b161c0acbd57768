#include "IdempotencyTable.h"

#include "ProtectedRequest.h"

#include <doctest/doctest.h>

#include <map>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const ZoneName kZone("z");
const HomeMember kReceiver{ .mName = InstanceName("r"), .mIncarnation = 9 };
const TimePoint kNow(100s);

AttemptId Attempt(uint64_t aNumber)
{
  return { .mReceiver = kReceiver, .mNumber = aNumber };
}

RecordKey Key(const std::string& aText)
{
  return { .mWorkspace = WorkspaceName("w"), .mKey = aText };
}

/// Homes that exchange messages without delay. Messages to other instances are
/// stored in `mReplies`.
class Homes
{
public:
  HomeDirectory mDirectory;
  HomeView mView;
  std::map<HomeMember, std::unique_ptr<IdempotencyTable>> mTables;
  std::vector<HomeAction> mReplies;
  std::vector<std::pair<HomeMember, HomeAction>> mSentActions;
  IdempotencyOptions mOptions;
  TimePoint mNow = kNow;
  std::set<HomeMember> mStopped;

  explicit Homes(IdempotencyOptions aOptions = {})
    : mOptions(aOptions)
  {
    mDirectory.SetMap(CreateHomeMap({ { kZone, 1 } }));
  }

  void SetMembers(std::vector<uint64_t> aNumbers)
  {
    std::vector<HomeMember> members;
    for (auto it : aNumbers) {
      members.push_back({ .mName = InstanceName("m" + std::to_string(it)),
                          .mIncarnation = it });
    }
    mView = mView.Next(members);
    mDirectory.SetView(kZone, mView);
    for (const auto& it : members) {
      auto& table = mTables[it];
      if (!table) {
        table = std::make_unique<IdempotencyTable>(kZone, it, mOptions);
      }
    }
    for (auto& [member, table] : mTables) {
      if (!mStopped.count(member)) {
        table->OnDirectory(mDirectory, mNow);
      }
    }
    Exchange();
  }

  void Exchange()
  {
    bool any = true;
    while (any) {
      any = false;
      for (auto& [from, table] : mTables) {
        for (auto& it : table->TakeActions()) {
          any = true;
          mSentActions.emplace_back(from, it);
          auto to = mTables.find(it.mTo);
          if (to == mTables.end()) {
            mReplies.push_back(it);
          } else if (!mStopped.count(it.mTo) && !mStopped.count(from)) {
            to->second->OnMessage(from, it.mMessage, mNow);
          }
        }
      }
    }
  }

  void Send(const HomeMember& aTo, const HomeMessage& aMessage)
  {
    mReplies.clear();
    mTables.at(aTo)->OnMessage(kReceiver, aMessage, mNow);
    Exchange();
  }

  /// Returns "run", the stored answer, a code's name, or "none".
  std::string Begin(const std::string& aKey,
                    uint64_t aAttempt,
                    uint64_t aFingerprint = 5)
  {
    const auto key = Key(aKey);
    Send(mDirectory.Find(key)->mPrimary,
         RecordBegin{ .mKey = key,
                      .mFingerprint = aFingerprint,
                      .mAttempt = Attempt(aAttempt) });
    if (mReplies.empty()) {
      return "none";
    }
    const auto& reply = std::get<RecordBeginReply>(mReplies[0].mMessage);
    switch (reply.mVerdict) {
      case BeginVerdict::Run:
        return "run";
      case BeginVerdict::StoredAnswer:
        return reply.mAnswer;
      case BeginVerdict::Refused:
        break;
    }
    return std::string(Name(reply.mCode));
  }

  void End(const std::string& aKey,
           uint64_t aAttempt,
           AttemptOutcome aOutcome,
           const std::string& aAnswer = "")
  {
    const auto key = Key(aKey);
    Send(mDirectory.Find(key)->mPrimary,
         RecordEnd{ .mKey = key,
                    .mAttempt = Attempt(aAttempt),
                    .mAttemptOutcome = aOutcome,
                    .mAnswer = aAnswer,
                    .mHasAnswer = !aAnswer.empty() });
  }
};

} // namespace

// Guards against a second run and against wrong answers to repeats.
TEST_CASE("a repeat is answered from the record of the first request")
{
  Homes homes;
  homes.SetMembers({ 1, 2, 3 });
  CHECK(homes.Begin("k", 1) == "run");
  CHECK(homes.Begin("k", 1) == "run"); // Same receiver; its reply was lost.
  CHECK(homes.Begin("k", 2) == "InProgress");
  CHECK(homes.Begin("k", 3, 6) == "IdempotencyKeyReused");
  homes.End("k", 2, AttemptOutcome::NotRun); // Attempt that was not permitted.
  CHECK(homes.Begin("k", 2) == "InProgress");
  homes.mNow += 65s;
  CHECK(homes.Begin("k", 4) == "BackendTimeout");
  homes.End("k", 1, AttemptOutcome::Answered, "paid");
  CHECK(homes.Begin("k", 5) == "paid");
  homes.mNow += 15min + 5s;
  CHECK(homes.Begin("k", 6) == "run");

  CHECK(homes.Begin("lost", 7) == "run");
  homes.End("lost", 7, AttemptOutcome::Unknown);
  CHECK(homes.Begin("lost", 8) == "BackendConnectionLost");
  CHECK(homes.Begin("shed", 9) == "run");
  homes.End("shed", 9, AttemptOutcome::NotRun);
  CHECK(homes.Begin("shed", 9) == "HomeUnavailable");
  CHECK(homes.Begin("shed", 10) == "run");
}

// Guards against the loss of records with their primary, and against homes that
// serve after a new primary has collected from them.
TEST_CASE("records survive the primary and old homes stop")
{
  Homes homes({ .mMaxPageBytes = 400 });
  homes.SetMembers({ 1, 2, 3 });
  const std::vector<std::string> keys{ "a", "b", "c", "d", "e", "f" };
  for (const auto& it : keys) {
    CHECK(homes.Begin(it, 1) == "run");
    homes.End(it, 1, AttemptOutcome::Answered, "answer " + it);
  }
  homes.SetMembers({ 2, 3, 4, 5 });
  homes.SetMembers({ 3, 4, 5 });
  homes.SetMembers({ 4, 5 });
  for (const auto& it : keys) {
    CHECK(homes.Begin(it, 2) == "answer " + it);
    const auto old = HomesOf(Key(it).Partition(), 1, *homes.mView.MembersOf(1));
    homes.Send(old->mPrimary,
               RecordBegin{ .mKey = Key(it), .mAttempt = Attempt(3) });
    for (const auto& reply : homes.mReplies) {
      CHECK(std::get<RecordBeginReply>(reply.mMessage).mVerdict !=
            BeginVerdict::Run);
    }
    auto other = Key(it);
    for (int i = 0; other.Partition() != Key(it).Partition() || i == 0; ++i) {
      other.mKey = it + std::to_string(i);
    }
    homes.Send(old->mPrimary,
               RecordBegin{ .mKey = other, .mAttempt = Attempt(4) });
    for (const auto& reply : homes.mReplies) {
      CHECK(std::get<RecordBeginReply>(reply.mMessage).mVerdict !=
            BeginVerdict::Run);
    }
  }
}

// Guards against a run whose record only one home has.
TEST_CASE("without the backup's acknowledgement nothing runs")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  const auto pair = *homes.mDirectory.Find(Key("k"));
  homes.mStopped.insert(*pair.mBackup);
  CHECK(homes.Begin("k", 1) == "none");
  homes.mReplies.clear();
  homes.mNow += 3s;
  homes.mTables[pair.mPrimary]->Tick(homes.mNow);
  homes.Exchange();
  REQUIRE(homes.mReplies.size() == 1);
  CHECK(std::get<RecordBeginReply>(homes.mReplies[0].mMessage).mCode ==
        ResultCode::HomeUnavailable);
  // A view with one member permits runs without a backup and reports it.
  homes.SetMembers({ pair.mPrimary.mIncarnation });
  CHECK(homes.Begin("k", 2) == "run");
  CHECK(homes.mTables[pair.mPrimary]->IsWithoutBackup(Key("k").Partition()));
}

// Guards against repeated messages between homes that overwrite newer records.
TEST_CASE("repeated transfers and writes change nothing")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  const auto pair = *homes.mDirectory.Find(Key("k"));
  CHECK(homes.Begin("k", 1) == "run");
  homes.End("k", 1, AttemptOutcome::Answered, "paid");
  // Repeats the messages from the newest to the oldest.
  const auto seen = homes.mSentActions;
  for (auto it = seen.rbegin(); it != seen.rend(); ++it) {
    const auto& [from, action] = *it;
    if (action.mTo == *pair.mBackup) {
      homes.mTables[action.mTo]->OnMessage(from, action.mMessage, homes.mNow);
    }
  }
  homes.Exchange();
  homes.mStopped.insert(pair.mPrimary);
  homes.SetMembers({ pair.mBackup->mIncarnation });
  CHECK(homes.Begin("k", 2) == "paid");
}

// Guards against a run in an old view after the new primary has collected from
// the old backup only, for instance while the old primary is paused.
TEST_CASE("a backup that was collected from acknowledges no older view")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  const auto pair = *homes.mDirectory.Find(Key("k"));
  homes.Send(
    *pair.mBackup,
    RecordCollect{ .mScope = { .mPartition = Key("k").Partition(), .mView = 2 },
                   .mAfter = {} });
  REQUIRE(homes.mReplies.size() == 1);
  const auto& reply = std::get<RecordCollectReply>(homes.mReplies[0].mMessage);
  CHECK(reply.mPromised);
  CHECK(reply.mLastCompletedView == 1);
  CHECK(homes.Begin("k", 1) == "none");
}

// Guards against missing writes at the backup when primary and backup stay the
// same in the next view and the records are not sent again, and against sending
// them again.
TEST_CASE("an unchanged pair continues without a transfer")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  const auto pair = *homes.mDirectory.Find(Key("k"));
  CHECK(homes.Begin("k", 1) == "run");
  homes.mStopped.insert(*pair.mBackup);
  homes.End("k", 1, AttemptOutcome::Answered, "paid");
  homes.mStopped.clear();
  homes.mSentActions.clear();
  // Finds a name that ranks third by rendezvous hashing for this partition.
  uint64_t third = 3;
  for (bool found = false; !found; third += found ? 0 : 1) {
    const HomeMember it{ .mName = InstanceName("m" + std::to_string(third)),
                         .mIncarnation = third };
    const auto with =
      HomesOf(Key("k").Partition(), 2, { pair.mPrimary, *pair.mBackup, it });
    found = with->mPrimary == pair.mPrimary && with->mBackup == pair.mBackup;
  }
  homes.SetMembers({ 1, 2, third });
  for (const auto& [from, action] : homes.mSentActions) {
    if (const auto* it = std::get_if<RecordSync>(&action.mMessage)) {
      if (it->mScope.mPartition == Key("k").Partition()) {
        CHECK(it->mUnchangedSince == 1);
      }
    }
  }
  homes.mNow += 1s;
  homes.mTables[pair.mPrimary]->Tick(homes.mNow);
  homes.Exchange();
  homes.mStopped.insert(pair.mPrimary);
  homes.SetMembers({ pair.mBackup->mIncarnation, third });
  CHECK(homes.Begin("k", 2) == "paid");
}

// Guards against runs of keys whose records are lost. Without any home of the
// last view no request is served, and after a move all keys are refused for a
// time.
TEST_CASE("lost records are never treated as absent records")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  CHECK(homes.Begin("k", 1) == "run");
  for (const auto& [member, table] : homes.mTables) {
    homes.mStopped.insert(member);
  }
  homes.SetMembers({ 3, 4 });
  CHECK(homes.Begin("k", 2) == "HomeUnavailable");
  homes.mDirectory.SetMap(
    MoveHomes(homes.mDirectory.Map(), kZone, { { kZone, 2 } }));
  homes.SetMembers({ 3, 4 });
  CHECK(homes.Begin("k", 3) == "RecordsLost");
  homes.mNow += 10min;
  homes.SetMembers({ 4, 5 });
  homes.SetMembers({ 5, 6 });
  CHECK(homes.Begin("k", 4) == "RecordsLost");
  homes.mNow += 7min;
  CHECK(homes.Begin("k", 5) == "run");
}

// Guards against unbounded memory and against removal of unexpired records to
// bound it.
TEST_CASE("a full table refuses new keys and keeps the others")
{
  Homes homes({ .mMaxRecords = 2, .mMaxTotalAnswerBytes = 10 });
  homes.SetMembers({ 1 });
  CHECK(homes.Begin("a", 1) == "run");
  CHECK(homes.Begin("b", 1) == "run");
  CHECK(homes.Begin("c", 1) == "NoHeadroom");
  homes.End("a", 1, AttemptOutcome::Answered, "12345678");
  homes.End("b", 1, AttemptOutcome::Answered, "12345678");
  CHECK(homes.Begin("a", 2) == "12345678");
  CHECK(homes.Begin("b", 2) == "AlreadyRan");
  const auto& table = *homes.mTables.begin()->second;
  CHECK(table.Records() == 2);
  CHECK(table.AnswerBytes() == 8);
  homes.mNow += 16min;
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    homes.mTables.begin()->second->Tick(homes.mNow);
  }
  CHECK(table.Records() == 0);
}

// Guards against a run long after the permission, when its record may have
// expired, and against a late permission for a request that was refused.
TEST_CASE("a request starts once, within the start window, or never")
{
  Homes homes;
  homes.SetMembers({ 1, 2 });
  const RecordBeginReply run{ .mAttempt = Attempt(1),
                              .mVerdict = BeginVerdict::Run,
                              .mAnswer = {} };
  using Step = ProtectedRequest::Step;
  ProtectedRequest late(Key("k"), 5, Attempt(1));
  REQUIRE(late.BeginMessage(homes.mDirectory, kNow));
  CHECK(late.OnReply(run, kNow + 1s) == Step::Run);
  CHECK_FALSE(late.TryStart(kNow + 4s));
  CHECK(OutcomeOf(late.Refusal()) == Outcome::NotRun);
  CHECK_FALSE(late.HasStarted());
  CHECK(late.EndMessage(homes.mDirectory));

  ProtectedRequest givenUp(Key("k"), 5, Attempt(1));
  REQUIRE(givenUp.BeginMessage(homes.mDirectory, kNow));
  CHECK(givenUp.GiveUp() == Step::Refuse);
  CHECK(givenUp.OnReply(run, kNow) == Step::Done);
  CHECK_FALSE(givenUp.TryStart(kNow));

  ProtectedRequest once(Key("k"), 5, Attempt(1));
  REQUIRE(once.BeginMessage(homes.mDirectory, kNow));
  CHECK(once.OnReply(run, kNow) == Step::Run);
  CHECK(once.OnReply(run, kNow) == Step::Done);
  CHECK(once.TryStart(kNow));
  CHECK_FALSE(once.TryStart(kNow));
  CHECK(once.GiveUp() == Step::Done);
  once.End(AttemptOutcome::Answered, std::string(100'000, 'x'));
  const auto report = once.EndMessage(homes.mDirectory);
  REQUIRE(report);
  CHECK_FALSE(std::get<RecordEnd>(report->mMessage).mHasAnswer);
  once.OnEndReply();
  CHECK(once.IsDone());
}
