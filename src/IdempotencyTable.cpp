#include "IdempotencyTable.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

namespace {

// Bytes of a record in a message beside its key and answer.
constexpr size_t kRecordOverhead = 160;

} // namespace

IdempotencyTable::IdempotencyTable(ZoneName aZone,
                                   HomeMember aSelf,
                                   IdempotencyOptions aOptions)
  : mZone(std::move(aZone))
  , mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mPartitions(kHomePartitions)
{
}

// --- Views and moves -------------------------------------------------------

void IdempotencyTable::OnDirectory(const HomeDirectory& aDirectory,
                                   TimePoint aNow)
{
  const auto* view = aDirectory.ViewOf(mZone);
  if (view && view->mNumber > mView.mNumber) {
    mView = *view;
  }
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    auto& part = mPartitions[i];
    const auto* home = aDirectory.Home(i);
    if (!home || home->mMoves < part.mMoves) {
      continue;
    }
    if (home->mMoves > part.mMoves) {
      BeginMove(part, home->mMoves);
    }
    if (home->mZone != mZone || mView.mNumber < home->mRecordsSince ||
        mView.mNumber < part.mPromised) {
      continue;
    }
    part.mRecordsSince = home->mRecordsSince;
    const auto pair = HomesOf(i, mView.mNumber, mView.mMembers);
    if (pair && pair->mPrimary == mSelf) {
      if (part.mRole == HomeRole::None || part.mRoleView < mView.mNumber) {
        StartCollecting(i, *pair, aNow);
      }
    } else if (part.mRole != HomeRole::Serving) {
      part.mRole = HomeRole::None;
    }
    // A primary that is no longer one goes on serving its view until the new
    // primary collects from it or from its backup.
  }
}

void IdempotencyTable::BeginMove(Partition& aPart, uint64_t aMoves)
{
  Replace(aPart, {});
  aPart = Partition{};
  aPart.mMoves = aMoves;
}

bool IdempotencyTable::AcceptScope(Partition& aPart, const HomeScope& aScope)
{
  if (aScope.mMoves < aPart.mMoves) {
    return false;
  }
  if (aScope.mMoves > aPart.mMoves) {
    BeginMove(aPart, aScope.mMoves);
  }
  return aScope.mView >= aPart.mPromised;
}

HomeScope IdempotencyTable::ScopeOf(unsigned aPartition) const
{
  const auto& part = mPartitions[aPartition];
  return { .mPartition = aPartition,
           .mMoves = part.mMoves,
           .mView = part.mRoleView };
}

// --- Collection by a new primary -------------------------------------------

void IdempotencyTable::StartCollecting(unsigned aPartition,
                                       const HomePair& aPair,
                                       TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mPromised = aPair.mView;
  part.mRole = HomeRole::Collecting;
  part.mRoleView = aPair.mView;
  part.mBackup = aPair.mBackup;
  part.mAnswers = { { mSelf, part.mCompleted } };
  part.mStaged.clear();
  part.mCursor.reset();
  part.mProgress = aNow;
  TryCover(aPartition, aNow);
  if (part.mRole == HomeRole::Collecting) {
    SendCollects(aPartition, aNow);
  }
}

void IdempotencyTable::TryCover(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  uint64_t best = 0;
  part.mSource = mSelf;
  for (const auto& [member, completed] : part.mAnswers) {
    if (completed > best || (completed == best && member == mSelf)) {
      best = completed;
      part.mSource = member;
    }
  }
  for (uint64_t view = part.mRoleView - 1;
       view > best && view >= part.mRecordsSince && view > 0;
       --view) {
    const auto* members = mView.MembersOf(view);
    if (!members) {
      return;
    }
    const auto pair = HomesOf(aPartition, view, *members);
    if (pair && !part.mAnswers.count(pair->mPrimary) &&
        !(pair->mBackup && part.mAnswers.count(*pair->mBackup))) {
      return;
    }
  }
  if (best > 0 && part.mSource != mSelf) {
    part.mRole = HomeRole::Pulling;
    part.mStaged.clear();
    part.mCursor.reset();
    part.mProgress = aNow;
    SendPull(aPartition, aNow);
    return;
  }
  if (best == 0) {
    Replace(part, {});
    if (part.mMoves > 0) {
      part.mQuietUntil = aNow + mOptions.mRetention + mOptions.mLongestTimeout +
                         mOptions.mRunWindow;
    }
  }
  FinishCollecting(aPartition, aNow);
}

void IdempotencyTable::SendCollects(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mSent = aNow;
  uint64_t best = 0;
  for (const auto& [member, completed] : part.mAnswers) {
    best = std::max(best, completed);
  }
  std::set<HomeMember> to;
  for (uint64_t view = part.mRoleView - 1;
       view > best && view >= part.mRecordsSince && view > 0;
       --view) {
    const auto* members = mView.MembersOf(view);
    const auto pair =
      members ? HomesOf(aPartition, view, *members) : std::nullopt;
    if (pair) {
      to.insert(pair->mPrimary);
      if (pair->mBackup) {
        to.insert(*pair->mBackup);
      }
    }
  }
  for (const auto& it : to) {
    if (!part.mAnswers.count(it)) {
      Send(it, RecordCollect{ .mScope = ScopeOf(aPartition), .mAfter = {} });
    }
  }
}

void IdempotencyTable::SendPull(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mSent = aNow;
  Send(part.mSource,
       RecordCollect{ .mScope = ScopeOf(aPartition),
                      .mWantRecords = true,
                      .mAfter = part.mCursor });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordCollect& aIt,
                          TimePoint aNow)
{
  auto& part = mPartitions[aIt.mScope.mPartition];
  RecordCollectReply reply{ .mScope = aIt.mScope,
                            .mAfter = aIt.mAfter,
                            .mRecords = {} };
  if (AcceptScope(part, aIt.mScope)) {
    part.mPromised = aIt.mScope.mView;
    if (part.mRoleView < part.mPromised) {
      part.mRole = HomeRole::None;
    }
    reply.mPromised = true;
    reply.mCompleted = part.mCompleted;
    if (aIt.mWantRecords && part.mCompleted > 0) {
      auto page = PageAfter(part, aIt.mAfter, aNow);
      reply.mHasRecords = true;
      reply.mRecords = std::move(page.mRecords);
      reply.mMore = page.mMore;
      reply.mNextVersion = part.mNextVersion;
      if (part.mQuietUntil && *part.mQuietUntil > aNow) {
        reply.mQuiet = *part.mQuietUntil - aNow;
      }
    }
  }
  Send(aFrom, std::move(reply));
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordCollectReply& aIt,
                          TimePoint aNow)
{
  const unsigned partition = aIt.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (!aIt.mPromised || aIt.mScope != ScopeOf(partition) ||
      part.mPromised != part.mRoleView) {
    return;
  }
  if (part.mRole == HomeRole::Collecting) {
    part.mAnswers[aFrom] = aIt.mCompleted;
    TryCover(partition, aNow);
    return;
  }
  if (part.mRole != HomeRole::Pulling || aFrom != part.mSource ||
      !aIt.mHasRecords || aIt.mAfter != part.mCursor) {
    return;
  }
  part.mProgress = aNow;
  for (const auto& it : aIt.mRecords) {
    part.mStaged[it.mKey] = RecordOf(it, aNow);
    part.mCursor = it.mKey;
  }
  if (aIt.mMore) {
    SendPull(partition, aNow);
    return;
  }
  Replace(part, std::exchange(part.mStaged, {}));
  part.mNextVersion = std::max(part.mNextVersion, aIt.mNextVersion);
  part.mQuietUntil.reset();
  if (aIt.mQuiet > Duration::zero()) {
    part.mQuietUntil = aNow + aIt.mQuiet;
  }
  FinishCollecting(partition, aNow);
}

void IdempotencyTable::FinishCollecting(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  POLLENWAY_ASSERT(part.mPromised == part.mRoleView,
                   "a collection is completed in a view that was given up");
  part.mCompleted = part.mRoleView;
  part.mAnswers.clear();
  part.mPage = 0;
  part.mCursor.reset();
  part.mProgress = aNow;
  if (!part.mBackup) {
    StartServing(aPartition);
    return;
  }
  part.mRole = HomeRole::Syncing;
  SendSync(aPartition, aNow);
}

void IdempotencyTable::SendSync(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mSent = aNow;
  auto page = PageAfter(part, part.mCursor, aNow);
  RecordSync out{ .mScope = ScopeOf(aPartition),
                  .mPage = part.mPage,
                  .mLast = !page.mMore,
                  .mRecords = std::move(page.mRecords) };
  if (part.mQuietUntil && *part.mQuietUntil > aNow) {
    out.mQuiet = *part.mQuietUntil - aNow;
  }
  Send(*part.mBackup, std::move(out));
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordSync& aIt,
                          TimePoint aNow)
{
  auto& part = mPartitions[aIt.mScope.mPartition];
  RecordSyncReply reply{ .mScope = aIt.mScope, .mPage = aIt.mPage };
  if (!AcceptScope(part, aIt.mScope)) {
    Send(aFrom, reply);
    return;
  }
  part.mPromised = aIt.mScope.mView;
  if (part.mRoleView < part.mPromised) {
    part.mRole = HomeRole::None;
  }
  // A repeated page must not undo the records written since.
  if (part.mCompleted < aIt.mScope.mView) {
    if (part.mStagedScope != aIt.mScope) {
      part.mStagedScope = aIt.mScope;
      part.mStaged.clear();
      part.mNextPage = 0;
    }
    if (aIt.mPage > part.mNextPage) {
      return;
    }
    if (aIt.mPage == part.mNextPage) {
      ++part.mNextPage;
      for (const auto& it : aIt.mRecords) {
        part.mStaged[it.mKey] = RecordOf(it, aNow);
      }
      if (aIt.mLast) {
        Replace(part, std::exchange(part.mStaged, {}));
        part.mQuietUntil.reset();
        if (aIt.mQuiet > Duration::zero()) {
          part.mQuietUntil = aNow + aIt.mQuiet;
        }
        part.mCompleted = aIt.mScope.mView;
      }
    }
  }
  reply.mAccepted = true;
  Send(aFrom, reply);
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordSyncReply& aIt,
                          TimePoint aNow)
{
  const unsigned partition = aIt.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (part.mRole != HomeRole::Syncing || aIt.mScope != ScopeOf(partition) ||
      part.mPromised != part.mRoleView || !part.mBackup ||
      *part.mBackup != aFrom || !aIt.mAccepted || aIt.mPage != part.mPage) {
    return;
  }
  auto page = PageAfter(part, part.mCursor, aNow);
  if (!page.mMore) {
    StartServing(partition);
    return;
  }
  part.mCursor = page.mRecords.back().mKey;
  ++part.mPage;
  SendSync(partition, aNow);
}

void IdempotencyTable::StartServing(unsigned aPartition)
{
  auto& part = mPartitions[aPartition];
  part.mRole = HomeRole::Serving;
  POLLENWAY_ASSERT(MayServe(part), "a view is served before its collection");
  part.mCursor.reset();
  // The backup has all records now. Pending ones are sent once more, because
  // only the acknowledgement of a single record permits a run.
  std::set<RecordKey> pending;
  for (auto& [key, record] : part.mRecords) {
    record.mDirty = record.mState == RecordState::Pending;
    if (record.mDirty) {
      pending.insert(key);
    }
  }
  part.mDirty = std::move(pending);
}

// --- Requests at the primary -----------------------------------------------

bool IdempotencyTable::MayServe(const Partition& aPart) const
{
  return aPart.mRole == HomeRole::Serving &&
         aPart.mPromised == aPart.mRoleView &&
         aPart.mCompleted == aPart.mRoleView;
}

void IdempotencyTable::Refuse(const HomeMember& aTo,
                              const AttemptId& aAttempt,
                              ResultCode aCode)
{
  Send(aTo,
       RecordBeginReply{ .mAttempt = aAttempt,
                         .mVerdict = BeginVerdict::Refused,
                         .mCode = aCode,
                         .mAnswer = {} });
}

void IdempotencyTable::Permit(const Partition& aPart,
                              const HomeMember& aTo,
                              const Record& aRecord)
{
  POLLENWAY_ASSERT(MayServe(aPart), "a run is permitted in a view given up");
  POLLENWAY_ASSERT(aRecord.mState == RecordState::Started,
                   "a run is permitted for a record that is not started");
  POLLENWAY_ASSERT(!aPart.mBackup || !aRecord.mDirty,
                   "a run is permitted before the backup has the record");
  POLLENWAY_ASSERT(aTo == aRecord.mAttempt.mReceiver,
                   "a run is permitted to another receiver");
  Send(aTo,
       RecordBeginReply{ .mAttempt = aRecord.mAttempt,
                         .mVerdict = BeginVerdict::Run,
                         .mCode = ResultCode::Ok,
                         .mAnswer = {} });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordBegin& aIt,
                          TimePoint aNow)
{
  if (aFrom != aIt.mAttempt.mReceiver) {
    return;
  }
  const unsigned partition = aIt.mKey.Partition();
  auto& part = mPartitions[partition];
  if (!MayServe(part)) {
    Refuse(aFrom,
           aIt.mAttempt,
           part.mRole == HomeRole::None ? ResultCode::StaleView
                                        : ResultCode::HomeUnavailable);
    return;
  }
  auto it = part.mRecords.find(aIt.mKey);
  if (it != part.mRecords.end() && it->second.mExpires <= aNow) {
    Erase(part, it);
    it = part.mRecords.end();
  }
  const bool isFree =
    it == part.mRecords.end() || (it->second.mState == RecordState::NotRun &&
                                  it->second.mAttempt != aIt.mAttempt);
  if (isFree) {
    if (part.mQuietUntil && *part.mQuietUntil > aNow) {
      Refuse(aFrom, aIt.mAttempt, ResultCode::RecordsLost);
      return;
    }
    if (it == part.mRecords.end() && mRecords >= mOptions.mMostRecords) {
      Refuse(aFrom, aIt.mAttempt, ResultCode::NoHeadroom);
      return;
    }
    if (it == part.mRecords.end()) {
      it = part.mRecords.emplace(aIt.mKey, Record{}).first;
      ++mRecords;
    }
    auto& record = it->second;
    SetAnswer(record, {});
    record.mFingerprint = aIt.mFingerprint;
    record.mAttempt = aIt.mAttempt;
    record.mStarted = aNow;
    Change(partition, aIt.mKey, RecordState::Pending, aNow);
    if (!part.mBackup) {
      record.mState = RecordState::Started;
      Permit(part, aFrom, record);
    }
    return;
  }
  const auto& record = it->second;
  const bool same = record.mAttempt == aIt.mAttempt;
  if (record.mFingerprint != aIt.mFingerprint) {
    Refuse(aFrom, aIt.mAttempt, ResultCode::IdempotencyKeyReused);
    return;
  }
  switch (record.mState) {
    case RecordState::Pending:
      // The attempt itself is answered when the backup acknowledges.
      if (!same) {
        Refuse(aFrom, aIt.mAttempt, ResultCode::InProgress);
      }
      return;
    case RecordState::Started:
      if (same) {
        Permit(part, aFrom, record);
      } else {
        const bool late = aNow - record.mStarted >
                          mOptions.mLongestTimeout + mOptions.mRunWindow;
        Refuse(aFrom,
               aIt.mAttempt,
               late ? ResultCode::BackendTimeout : ResultCode::InProgress);
      }
      return;
    case RecordState::Answered:
      Send(aFrom,
           RecordBeginReply{ .mAttempt = aIt.mAttempt,
                             .mVerdict = BeginVerdict::StoredAnswer,
                             .mCode = ResultCode::Ok,
                             .mAnswer = record.mAnswer });
      return;
    case RecordState::Ran:
      Refuse(aFrom, aIt.mAttempt, ResultCode::AlreadyRan);
      return;
    case RecordState::Unknown:
      Refuse(aFrom, aIt.mAttempt, ResultCode::BackendConnectionLost);
      return;
    case RecordState::NotRun:
      Refuse(aFrom, aIt.mAttempt, ResultCode::HomeUnavailable);
      return;
  }
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordEnd& aIt,
                          TimePoint aNow)
{
  const unsigned partition = aIt.mKey.Partition();
  auto& part = mPartitions[partition];
  if (!MayServe(part)) {
    return;
  }
  Send(aFrom, RecordEndReply{ .mAttempt = aIt.mAttempt });
  auto it = part.mRecords.find(aIt.mKey);
  if (it == part.mRecords.end() || it->second.mAttempt != aIt.mAttempt) {
    return;
  }
  auto& record = it->second;
  const bool open = record.mState == RecordState::Started ||
                    record.mState == RecordState::Pending;
  switch (aIt.mEnding) {
    case RecordEnding::NotRun:
      if (open) {
        Change(partition, aIt.mKey, RecordState::NotRun, aNow);
      }
      return;
    case RecordEnding::Unknown:
      if (open) {
        Change(partition, aIt.mKey, RecordState::Unknown, aNow);
      }
      return;
    case RecordEnding::Answered:
      if (open || record.mState == RecordState::Unknown) {
        const bool fits =
          aIt.mHasAnswer && aIt.mAnswer.size() <= mOptions.mLargestAnswer &&
          mAnswerBytes + aIt.mAnswer.size() <= mOptions.mMostAnswerBytes;
        SetAnswer(record, fits ? aIt.mAnswer : std::string());
        Change(partition,
               aIt.mKey,
               fits ? RecordState::Answered : RecordState::Ran,
               aNow);
      }
      return;
  }
}

void IdempotencyTable::Change(unsigned aPartition,
                              const RecordKey& aKey,
                              RecordState aState,
                              TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  POLLENWAY_ASSERT(MayServe(part), "a record is changed in a view given up");
  auto& record = part.mRecords.at(aKey);
  POLLENWAY_ASSERT(aState != RecordState::Pending || record.mVersion == 0 ||
                     record.mState == RecordState::NotRun,
                   "a second run is begun for a record");
  record.mState = aState;
  record.mVersion = part.mNextVersion++;
  record.mExpires = aNow + mOptions.mRetention + mOptions.mRunWindow;
  if (part.mBackup) {
    record.mDirty = true;
    part.mDirty.insert(aKey);
    SendPut(aPartition, aKey, aNow);
  }
}

void IdempotencyTable::SendPut(unsigned aPartition,
                               const RecordKey& aKey,
                               TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  auto& record = part.mRecords.at(aKey);
  record.mSent = aNow;
  Send(*part.mBackup,
       RecordPut{ .mScope = ScopeOf(aPartition),
                  .mRecord = CopyOf(aKey, record, aNow) });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordPut& aIt,
                          TimePoint aNow)
{
  auto& part = mPartitions[aIt.mScope.mPartition];
  RecordPutReply reply{ .mScope = aIt.mScope,
                        .mKey = aIt.mRecord.mKey,
                        .mVersion = aIt.mRecord.mVersion };
  if (aIt.mScope.mMoves == part.mMoves && aIt.mScope.mView == part.mPromised &&
      aIt.mScope.mView == part.mCompleted) {
    auto it = part.mRecords.find(aIt.mRecord.mKey);
    if (it == part.mRecords.end() && mRecords < mOptions.mMostRecords) {
      it = part.mRecords.emplace(aIt.mRecord.mKey, Record{}).first;
      ++mRecords;
    }
    if (it != part.mRecords.end()) {
      if (it->second.mVersion < aIt.mRecord.mVersion) {
        SetAnswer(it->second, {});
        it->second = RecordOf(aIt.mRecord, aNow);
        mAnswerBytes += it->second.mAnswer.size();
        part.mNextVersion =
          std::max(part.mNextVersion, aIt.mRecord.mVersion + 1);
      }
      reply.mAccepted = true;
    }
  }
  Send(aFrom, reply);
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordPutReply& aIt,
                          TimePoint aNow)
{
  const unsigned partition = aIt.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (!MayServe(part) || aIt.mScope != ScopeOf(partition) || !part.mBackup ||
      *part.mBackup != aFrom || !aIt.mAccepted) {
    return;
  }
  auto it = part.mRecords.find(aIt.mKey);
  if (it == part.mRecords.end() || it->second.mVersion != aIt.mVersion) {
    return;
  }
  auto& record = it->second;
  record.mDirty = false;
  part.mDirty.erase(aIt.mKey);
  if (record.mState == RecordState::Pending) {
    record.mState = RecordState::Started;
    record.mStarted = aNow;
    record.mExpires = aNow + mOptions.mRetention + mOptions.mRunWindow;
    Permit(part, record.mAttempt.mReceiver, record);
  }
}

// --- Timers ----------------------------------------------------------------

void IdempotencyTable::Tick(TimePoint aNow)
{
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    auto& part = mPartitions[i];
    const bool due = aNow - part.mSent >= mOptions.mResend;
    switch (part.mRole) {
      case HomeRole::None:
        break;
      case HomeRole::Collecting:
        if (due) {
          SendCollects(i, aNow);
        }
        break;
      case HomeRole::Pulling:
        if (aNow - part.mProgress >= mOptions.mTransferTimeout) {
          // The source has gone; ask all homes again.
          part.mRole = HomeRole::Collecting;
          part.mAnswers = { { mSelf, part.mCompleted } };
          part.mStaged.clear();
          SendCollects(i, aNow);
        } else if (due) {
          SendPull(i, aNow);
        }
        break;
      case HomeRole::Syncing:
        if (due) {
          SendSync(i, aNow);
        }
        break;
      case HomeRole::Serving: {
        const std::vector<RecordKey> dirty(part.mDirty.begin(),
                                           part.mDirty.end());
        for (const auto& key : dirty) {
          auto it = part.mRecords.find(key);
          if (it == part.mRecords.end() || !MayServe(part)) {
            part.mDirty.erase(key);
            continue;
          }
          auto& record = it->second;
          if (record.mState == RecordState::Pending &&
              aNow - record.mStarted >= mOptions.mPendingTimeout) {
            // Not permitted yet, and never will be: a late acknowledgement
            // carries an older version.
            Change(i, key, RecordState::NotRun, aNow);
            Refuse(record.mAttempt.mReceiver,
                   record.mAttempt,
                   ResultCode::HomeUnavailable);
          } else if (aNow - record.mSent >= mOptions.mResend) {
            SendPut(i, key, aNow);
          }
        }
        break;
      }
    }
  }
  // One partition a call, so that each call takes a bounded time.
  mNextExpiry = (mNextExpiry + 1) % kHomePartitions;
  auto& part = mPartitions[mNextExpiry];
  if (part.mRole == HomeRole::Syncing) {
    // Pages are built anew when repeated and must not change meanwhile.
    return;
  }
  for (auto it = part.mRecords.begin(); it != part.mRecords.end();) {
    const auto next = std::next(it);
    if (it->second.mExpires <= aNow) {
      Erase(part, it);
    }
    it = next;
  }
}

// --- Storage ---------------------------------------------------------------

RecordCopy IdempotencyTable::CopyOf(const RecordKey& aKey,
                                    const Record& aRecord,
                                    TimePoint aNow) const
{
  // Whoever takes over must assume that a pending attempt was permitted.
  const auto state = aRecord.mState == RecordState::Pending
                       ? RecordState::Started
                       : aRecord.mState;
  return { .mKey = aKey,
           .mFingerprint = aRecord.mFingerprint,
           .mState = state,
           .mAttempt = aRecord.mAttempt,
           .mVersion = aRecord.mVersion,
           .mAge = aNow - aRecord.mStarted,
           .mRemaining = aRecord.mExpires - aNow,
           .mAnswer = aRecord.mAnswer };
}

IdempotencyTable::Record IdempotencyTable::RecordOf(const RecordCopy& aCopy,
                                                    TimePoint aNow) const
{
  Record out;
  out.mFingerprint = aCopy.mFingerprint;
  out.mState = aCopy.mState;
  out.mAttempt = aCopy.mAttempt;
  out.mVersion = aCopy.mVersion;
  out.mStarted = aNow - aCopy.mAge;
  out.mExpires = aNow + aCopy.mRemaining;
  out.mAnswer = aCopy.mAnswer;
  return out;
}

IdempotencyTable::Page IdempotencyTable::PageAfter(
  const Partition& aPart,
  const std::optional<RecordKey>& aAfter,
  TimePoint aNow) const
{
  Page out;
  size_t bytes = 0;
  auto it =
    aAfter ? aPart.mRecords.upper_bound(*aAfter) : aPart.mRecords.begin();
  for (; it != aPart.mRecords.end(); ++it) {
    bytes += kRecordOverhead + it->first.mWorkspace.Text().size() +
             it->first.mKey.size() + it->second.mAnswer.size();
    if (!out.mRecords.empty() && bytes > mOptions.mPageBytes) {
      out.mMore = true;
      break;
    }
    out.mRecords.push_back(CopyOf(it->first, it->second, aNow));
  }
  return out;
}

void IdempotencyTable::SetAnswer(Record& aRecord, std::string aAnswer)
{
  mAnswerBytes -= aRecord.mAnswer.size();
  aRecord.mAnswer = std::move(aAnswer);
  mAnswerBytes += aRecord.mAnswer.size();
}

void IdempotencyTable::Erase(Partition& aPart, RecordMap::iterator aIt)
{
  SetAnswer(aIt->second, {});
  aPart.mDirty.erase(aIt->first);
  aPart.mRecords.erase(aIt);
  --mRecords;
}

void IdempotencyTable::Replace(Partition& aPart, RecordMap aRecords)
{
  for (const auto& [key, record] : aPart.mRecords) {
    mAnswerBytes -= record.mAnswer.size();
  }
  mRecords -= aPart.mRecords.size();
  aPart.mRecords = std::move(aRecords);
  aPart.mDirty.clear();
  for (const auto& [key, record] : aPart.mRecords) {
    mAnswerBytes += record.mAnswer.size();
    aPart.mNextVersion = std::max(aPart.mNextVersion, record.mVersion + 1);
  }
  mRecords += aPart.mRecords.size();
}

// --- Interface -------------------------------------------------------------

template<typename Message>
void IdempotencyTable::Send(const HomeMember& aTo, Message aMessage)
{
  mActions.push_back({ .mTo = aTo, .mMessage = std::move(aMessage) });
}

void IdempotencyTable::OnMessage(const HomeMember& aFrom,
                                 const HomeMessage& aMessage,
                                 TimePoint aNow)
{
  std::visit(
    [&](const auto& aIt) {
      if constexpr (requires { aIt.mScope; }) {
        if (aIt.mScope.mPartition >= kHomePartitions) {
          return;
        }
      }
      if constexpr (requires { On(aFrom, aIt, aNow); }) {
        On(aFrom, aIt, aNow);
      }
    },
    aMessage);
}

std::vector<HomeAction> IdempotencyTable::TakeActions()
{
  return std::exchange(mActions, {});
}

HomeRole IdempotencyTable::Role(unsigned aPartition) const
{
  return mPartitions[aPartition].mRole;
}

bool IdempotencyTable::IsWithoutBackup(unsigned aPartition) const
{
  const auto& part = mPartitions[aPartition];
  return part.mRole == HomeRole::Serving && !part.mBackup;
}

uint64_t IdempotencyTable::CompletedView(unsigned aPartition) const
{
  return mPartitions[aPartition].mCompleted;
}

unsigned IdempotencyTable::Count(HomeRole aRole) const
{
  return unsigned(std::count_if(
    mPartitions.begin(), mPartitions.end(), [aRole](const Partition& aPart) {
      return aPart.mRole == aRole;
    }));
}

} // namespace pollenway
