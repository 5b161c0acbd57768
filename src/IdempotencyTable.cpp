#include "IdempotencyTable.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

namespace {

// Size in bytes of a record in a message, without its key and answer.
constexpr size_t kRecordOverheadBytes = 160;

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
      ResetForMove(part, home->mMoves);
    }
    if (home->mZone != mZone || mView.mNumber < home->mRecordsSince ||
        mView.mNumber < part.mPromisedView) {
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
    // A former primary continues to serve its view until the new primary
    // collects from it or from its backup.
  }
}

void IdempotencyTable::ResetForMove(Partition& aPart, uint64_t aMoves)
{
  ReplaceRecords(aPart, {});
  aPart = Partition{};
  aPart.mMoves = aMoves;
}

bool IdempotencyTable::AcceptScope(Partition& aPart, const HomeScope& aScope)
{
  if (aScope.mMoves < aPart.mMoves) {
    return false;
  }
  if (aScope.mMoves > aPart.mMoves) {
    ResetForMove(aPart, aScope.mMoves);
  }
  return aScope.mView >= aPart.mPromisedView;
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
  part.mPromisedView = aPair.mView;
  part.mRole = HomeRole::Collecting;
  part.mRoleView = aPair.mView;
  part.mBackup = aPair.mBackup;
  part.mPromises = { { mSelf, part.mLastCompletedView } };
  part.mStaged.clear();
  part.mCursor.reset();
  part.mProgressAt = aNow;
  TryFinishCollecting(aPartition, aNow);
  if (part.mRole == HomeRole::Collecting) {
    SendCollectRequests(aPartition, aNow);
  }
}

void IdempotencyTable::TryFinishCollecting(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  uint64_t latest = 0;
  part.mSource = mSelf;
  for (const auto& [member, completed] : part.mPromises) {
    if (completed > latest || (completed == latest && member == mSelf)) {
      latest = completed;
      part.mSource = member;
    }
  }
  for (uint64_t view = part.mRoleView - 1;
       view > latest && view >= part.mRecordsSince && view > 0;
       --view) {
    const auto* members = mView.MembersOf(view);
    if (!members) {
      return;
    }
    const auto pair = HomesOf(aPartition, view, *members);
    if (pair && !part.mPromises.count(pair->mPrimary) &&
        !(pair->mBackup && part.mPromises.count(*pair->mBackup))) {
      return;
    }
  }
  if (latest > 0 && part.mSource != mSelf) {
    part.mRole = HomeRole::Pulling;
    part.mStaged.clear();
    part.mCursor.reset();
    part.mProgressAt = aNow;
    SendPull(aPartition, aNow);
    return;
  }
  if (latest == 0) {
    ReplaceRecords(part, {});
    if (part.mMoves > 0) {
      part.mRecordsLostUntil = aNow + mOptions.mRetention +
                               mOptions.mMaxServiceTimeout +
                               mOptions.mStartWindow;
    }
  }
  FinishCollecting(aPartition, aNow);
}

void IdempotencyTable::SendCollectRequests(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mSentAt = aNow;
  uint64_t latest = 0;
  for (const auto& [member, completed] : part.mPromises) {
    latest = std::max(latest, completed);
  }
  std::set<HomeMember> to;
  for (uint64_t view = part.mRoleView - 1;
       view > latest && view >= part.mRecordsSince && view > 0;
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
    if (!part.mPromises.count(it)) {
      Send(it, RecordCollect{ .mScope = ScopeOf(aPartition), .mAfter = {} });
    }
  }
}

void IdempotencyTable::SendPull(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  part.mSentAt = aNow;
  Send(part.mSource,
       RecordCollect{ .mScope = ScopeOf(aPartition),
                      .mWantRecords = true,
                      .mAfter = part.mCursor });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordCollect& aMessage,
                          TimePoint aNow)
{
  auto& part = mPartitions[aMessage.mScope.mPartition];
  RecordCollectReply reply{ .mScope = aMessage.mScope,
                            .mAfter = aMessage.mAfter,
                            .mRecords = {} };
  if (AcceptScope(part, aMessage.mScope)) {
    part.mPromisedView = aMessage.mScope.mView;
    if (part.mRoleView < part.mPromisedView) {
      part.mRole = HomeRole::None;
    }
    reply.mPromised = true;
    reply.mLastCompletedView = part.mLastCompletedView;
    if (aMessage.mWantRecords && part.mLastCompletedView > 0) {
      auto page = PageAfter(part, aMessage.mAfter, aNow);
      reply.mHasRecords = true;
      reply.mRecords = std::move(page.mRecords);
      reply.mHasMoreRecords = page.mHasMoreRecords;
      reply.mNextVersion = part.mNextVersion;
      if (part.mRecordsLostUntil && *part.mRecordsLostUntil > aNow) {
        reply.mRecordsLostTime = *part.mRecordsLostUntil - aNow;
      }
    }
  }
  Send(aFrom, std::move(reply));
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordCollectReply& aMessage,
                          TimePoint aNow)
{
  const unsigned partition = aMessage.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (!aMessage.mPromised || aMessage.mScope != ScopeOf(partition) ||
      part.mPromisedView != part.mRoleView) {
    return;
  }
  if (part.mRole == HomeRole::Collecting) {
    part.mPromises[aFrom] = aMessage.mLastCompletedView;
    TryFinishCollecting(partition, aNow);
    return;
  }
  if (part.mRole != HomeRole::Pulling || aFrom != part.mSource ||
      !aMessage.mHasRecords || aMessage.mAfter != part.mCursor) {
    return;
  }
  part.mProgressAt = aNow;
  for (const auto& it : aMessage.mRecords) {
    part.mStaged[it.mKey] = RecordOf(it, aNow);
    part.mCursor = it.mKey;
  }
  if (aMessage.mHasMoreRecords) {
    SendPull(partition, aNow);
    return;
  }
  ReplaceRecords(part, std::exchange(part.mStaged, {}));
  part.mNextVersion = std::max(part.mNextVersion, aMessage.mNextVersion);
  part.mRecordsLostUntil.reset();
  if (aMessage.mRecordsLostTime > Duration::zero()) {
    part.mRecordsLostUntil = aNow + aMessage.mRecordsLostTime;
  }
  FinishCollecting(partition, aNow);
}

void IdempotencyTable::FinishCollecting(unsigned aPartition, TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  POLLENWAY_ASSERT(
    part.mPromisedView == part.mRoleView,
    "a collection is completed in a view before the promised one");
  const bool isSamePair = part.mBackup && part.mServedView > 0 &&
                          part.mServedView == part.mLastCompletedView &&
                          part.mServedBackup == part.mBackup;
  part.mUnchangedSince = isSamePair ? part.mServedView : 0;
  part.mLastCompletedView = part.mRoleView;
  part.mPromises.clear();
  part.mPage = 0;
  part.mCursor.reset();
  part.mProgressAt = aNow;
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
  part.mSentAt = aNow;
  if (part.mUnchangedSince > 0) {
    Send(*part.mBackup,
         RecordSync{ .mScope = ScopeOf(aPartition),
                     .mUnchangedSince = part.mUnchangedSince,
                     .mRecords = {} });
    return;
  }
  auto page = PageAfter(part, part.mCursor, aNow);
  RecordSync out{ .mScope = ScopeOf(aPartition),
                  .mPage = part.mPage,
                  .mLast = !page.mHasMoreRecords,
                  .mRecords = std::move(page.mRecords) };
  if (part.mRecordsLostUntil && *part.mRecordsLostUntil > aNow) {
    out.mRecordsLostTime = *part.mRecordsLostUntil - aNow;
  }
  Send(*part.mBackup, std::move(out));
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordSync& aMessage,
                          TimePoint aNow)
{
  auto& part = mPartitions[aMessage.mScope.mPartition];
  RecordSyncReply reply{ .mScope = aMessage.mScope, .mPage = aMessage.mPage };
  if (!AcceptScope(part, aMessage.mScope)) {
    Send(aFrom, reply);
    return;
  }
  part.mPromisedView = aMessage.mScope.mView;
  if (part.mRoleView < part.mPromisedView) {
    part.mRole = HomeRole::None;
  }
  if (aMessage.mUnchangedSince > 0) {
    if (part.mLastCompletedView == aMessage.mUnchangedSince) {
      part.mLastCompletedView = aMessage.mScope.mView;
    }
    reply.mAccepted = part.mLastCompletedView == aMessage.mScope.mView;
    reply.mNeedsPages = !reply.mAccepted;
    Send(aFrom, reply);
    return;
  }
  // A repeated page must not overwrite records written since.
  if (part.mLastCompletedView < aMessage.mScope.mView) {
    if (part.mStagedScope != aMessage.mScope) {
      part.mStagedScope = aMessage.mScope;
      part.mStaged.clear();
      part.mNextStagedPage = 0;
    }
    if (aMessage.mPage > part.mNextStagedPage) {
      return;
    }
    if (aMessage.mPage == part.mNextStagedPage) {
      ++part.mNextStagedPage;
      for (const auto& it : aMessage.mRecords) {
        part.mStaged[it.mKey] = RecordOf(it, aNow);
      }
      if (aMessage.mLast) {
        ReplaceRecords(part, std::exchange(part.mStaged, {}));
        part.mRecordsLostUntil.reset();
        if (aMessage.mRecordsLostTime > Duration::zero()) {
          part.mRecordsLostUntil = aNow + aMessage.mRecordsLostTime;
        }
        part.mLastCompletedView = aMessage.mScope.mView;
      }
    }
  }
  reply.mAccepted = true;
  Send(aFrom, reply);
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordSyncReply& aMessage,
                          TimePoint aNow)
{
  const unsigned partition = aMessage.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (part.mRole != HomeRole::Syncing ||
      aMessage.mScope != ScopeOf(partition) ||
      part.mPromisedView != part.mRoleView || !part.mBackup ||
      *part.mBackup != aFrom) {
    return;
  }
  if (part.mUnchangedSince > 0) {
    if (aMessage.mAccepted) {
      StartServing(partition);
    } else if (aMessage.mNeedsPages) {
      part.mUnchangedSince = 0;
      SendSync(partition, aNow);
    }
    return;
  }
  if (!aMessage.mAccepted || aMessage.mPage != part.mPage) {
    return;
  }
  auto page = PageAfter(part, part.mCursor, aNow);
  if (!page.mHasMoreRecords) {
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
  POLLENWAY_ASSERT(MayServe(part),
                   "a view is served before its collection is completed");
  part.mCursor.reset();
  part.mServedView = part.mRoleView;
  part.mServedBackup = part.mBackup;
  // After the pages, the backup has all records. Pending records are sent
  // again, because an attempt is permitted only by the acknowledgement of its
  // single record.
  part.mDirty.clear();
  for (auto& [key, record] : part.mRecords) {
    record.mDirty =
      part.mBackup && (record.mState == RecordState::Pending ||
                       (part.mUnchangedSince > 0 && record.mDirty));
    if (record.mDirty) {
      part.mDirty.insert(key);
    }
  }
}

// --- Requests at the primary -----------------------------------------------

bool IdempotencyTable::MayServe(const Partition& aPart) const
{
  return aPart.mRole == HomeRole::Serving &&
         aPart.mPromisedView == aPart.mRoleView &&
         aPart.mLastCompletedView == aPart.mRoleView;
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
  POLLENWAY_ASSERT(MayServe(aPart),
                   "an attempt is permitted in a view that is not served");
  POLLENWAY_ASSERT(aRecord.mState == RecordState::Started,
                   "an attempt is permitted for a record that is not started");
  POLLENWAY_ASSERT(!aPart.mBackup || !aRecord.mDirty,
                   "an attempt is permitted before the backup has its record");
  POLLENWAY_ASSERT(aTo == aRecord.mAttempt.mReceiver,
                   "an attempt is permitted to another receiver");
  Send(aTo,
       RecordBeginReply{ .mAttempt = aRecord.mAttempt,
                         .mVerdict = BeginVerdict::Run,
                         .mCode = ResultCode::Ok,
                         .mAnswer = {} });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordBegin& aMessage,
                          TimePoint aNow)
{
  if (aFrom != aMessage.mAttempt.mReceiver) {
    return;
  }
  const unsigned partition = aMessage.mKey.Partition();
  auto& part = mPartitions[partition];
  if (!MayServe(part)) {
    Refuse(aFrom,
           aMessage.mAttempt,
           part.mRole == HomeRole::None ? ResultCode::StaleView
                                        : ResultCode::HomeUnavailable);
    return;
  }
  auto it = part.mRecords.find(aMessage.mKey);
  if (it != part.mRecords.end() && it->second.mExpiresAt <= aNow) {
    EraseRecord(part, it);
    it = part.mRecords.end();
  }
  const bool mayBegin =
    it == part.mRecords.end() || (it->second.mState == RecordState::NotRun &&
                                  it->second.mAttempt != aMessage.mAttempt);
  if (mayBegin) {
    if (part.mRecordsLostUntil && *part.mRecordsLostUntil > aNow) {
      Refuse(aFrom, aMessage.mAttempt, ResultCode::RecordsLost);
      return;
    }
    if (it == part.mRecords.end() && mRecordCount >= mOptions.mMaxRecords) {
      Refuse(aFrom, aMessage.mAttempt, ResultCode::NoHeadroom);
      return;
    }
    if (it == part.mRecords.end()) {
      it = part.mRecords.emplace(aMessage.mKey, Record{}).first;
      ++mRecordCount;
    }
    auto& record = it->second;
    SetAnswer(record, {});
    record.mFingerprint = aMessage.mFingerprint;
    record.mAttempt = aMessage.mAttempt;
    record.mStartedAt = aNow;
    SetRecordState(partition, aMessage.mKey, RecordState::Pending, aNow);
    if (!part.mBackup) {
      record.mState = RecordState::Started;
      Permit(part, aFrom, record);
    }
    return;
  }
  const auto& record = it->second;
  const bool isSameAttempt = record.mAttempt == aMessage.mAttempt;
  if (record.mFingerprint != aMessage.mFingerprint) {
    Refuse(aFrom, aMessage.mAttempt, ResultCode::IdempotencyKeyReused);
    return;
  }
  switch (record.mState) {
    case RecordState::Pending:
      // The attempt is answered when the backup acknowledges the record.
      if (!isSameAttempt) {
        Refuse(aFrom, aMessage.mAttempt, ResultCode::InProgress);
      }
      return;
    case RecordState::Started:
      if (isSameAttempt) {
        Permit(part, aFrom, record);
      } else {
        const bool isOverdue =
          aNow - record.mStartedAt >
          mOptions.mMaxServiceTimeout + mOptions.mStartWindow;
        Refuse(aFrom,
               aMessage.mAttempt,
               isOverdue ? ResultCode::BackendTimeout : ResultCode::InProgress);
      }
      return;
    case RecordState::Answered:
      Send(aFrom,
           RecordBeginReply{ .mAttempt = aMessage.mAttempt,
                             .mVerdict = BeginVerdict::StoredAnswer,
                             .mCode = ResultCode::Ok,
                             .mAnswer = record.mAnswer });
      return;
    case RecordState::Ran:
      Refuse(aFrom, aMessage.mAttempt, ResultCode::AlreadyRan);
      return;
    case RecordState::Unknown:
      Refuse(aFrom, aMessage.mAttempt, ResultCode::BackendConnectionLost);
      return;
    case RecordState::NotRun:
      Refuse(aFrom, aMessage.mAttempt, ResultCode::HomeUnavailable);
      return;
  }
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordEnd& aMessage,
                          TimePoint aNow)
{
  const unsigned partition = aMessage.mKey.Partition();
  auto& part = mPartitions[partition];
  if (!MayServe(part)) {
    return;
  }
  Send(aFrom, RecordEndReply{ .mAttempt = aMessage.mAttempt });
  auto it = part.mRecords.find(aMessage.mKey);
  if (it == part.mRecords.end() || it->second.mAttempt != aMessage.mAttempt) {
    return;
  }
  auto& record = it->second;
  const bool isOpen = record.mState == RecordState::Started ||
                      record.mState == RecordState::Pending;
  switch (aMessage.mAttemptOutcome) {
    case AttemptOutcome::NotRun:
      if (isOpen) {
        SetRecordState(partition, aMessage.mKey, RecordState::NotRun, aNow);
      }
      return;
    case AttemptOutcome::Unknown:
      if (isOpen) {
        SetRecordState(partition, aMessage.mKey, RecordState::Unknown, aNow);
      }
      return;
    case AttemptOutcome::Answered:
      if (isOpen || record.mState == RecordState::Unknown) {
        const bool fits =
          aMessage.mHasAnswer &&
          aMessage.mAnswer.size() <= mOptions.mMaxStoredAnswerBytes &&
          mAnswerBytes + aMessage.mAnswer.size() <=
            mOptions.mMaxTotalAnswerBytes;
        SetAnswer(record, fits ? aMessage.mAnswer : std::string());
        SetRecordState(partition,
                       aMessage.mKey,
                       fits ? RecordState::Answered : RecordState::Ran,
                       aNow);
      }
      return;
  }
}

void IdempotencyTable::SetRecordState(unsigned aPartition,
                                      const RecordKey& aKey,
                                      RecordState aState,
                                      TimePoint aNow)
{
  auto& part = mPartitions[aPartition];
  POLLENWAY_ASSERT(MayServe(part),
                   "a record is changed in a view that is not served");
  auto& record = part.mRecords.at(aKey);
  POLLENWAY_ASSERT(aState != RecordState::Pending || record.mVersion == 0 ||
                     record.mState == RecordState::NotRun,
                   "a second attempt is begun for a record");
  record.mState = aState;
  record.mVersion = part.mNextVersion++;
  record.mExpiresAt = aNow + mOptions.mRetention + mOptions.mStartWindow;
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
  record.mSentAt = aNow;
  Send(*part.mBackup,
       RecordPut{ .mScope = ScopeOf(aPartition),
                  .mRecord = CopyOf(aKey, record, aNow) });
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordPut& aMessage,
                          TimePoint aNow)
{
  auto& part = mPartitions[aMessage.mScope.mPartition];
  RecordPutReply reply{ .mScope = aMessage.mScope,
                        .mKey = aMessage.mRecord.mKey,
                        .mVersion = aMessage.mRecord.mVersion };
  if (aMessage.mScope.mMoves == part.mMoves &&
      aMessage.mScope.mView == part.mPromisedView &&
      aMessage.mScope.mView == part.mLastCompletedView) {
    auto it = part.mRecords.find(aMessage.mRecord.mKey);
    if (it == part.mRecords.end() && mRecordCount < mOptions.mMaxRecords) {
      it = part.mRecords.emplace(aMessage.mRecord.mKey, Record{}).first;
      ++mRecordCount;
    }
    if (it != part.mRecords.end()) {
      if (it->second.mVersion < aMessage.mRecord.mVersion) {
        SetAnswer(it->second, {});
        it->second = RecordOf(aMessage.mRecord, aNow);
        mAnswerBytes += it->second.mAnswer.size();
        part.mNextVersion =
          std::max(part.mNextVersion, aMessage.mRecord.mVersion + 1);
      }
      reply.mAccepted = true;
    }
  }
  Send(aFrom, reply);
}

void IdempotencyTable::On(const HomeMember& aFrom,
                          const RecordPutReply& aMessage,
                          TimePoint aNow)
{
  const unsigned partition = aMessage.mScope.mPartition;
  auto& part = mPartitions[partition];
  if (!MayServe(part) || aMessage.mScope != ScopeOf(partition) ||
      !part.mBackup || *part.mBackup != aFrom || !aMessage.mAccepted) {
    return;
  }
  auto it = part.mRecords.find(aMessage.mKey);
  if (it == part.mRecords.end() || it->second.mVersion != aMessage.mVersion) {
    return;
  }
  auto& record = it->second;
  record.mDirty = false;
  part.mDirty.erase(aMessage.mKey);
  if (record.mState == RecordState::Pending) {
    record.mState = RecordState::Started;
    record.mStartedAt = aNow;
    record.mExpiresAt = aNow + mOptions.mRetention + mOptions.mStartWindow;
    Permit(part, record.mAttempt.mReceiver, record);
  }
}

// --- Timers ----------------------------------------------------------------

void IdempotencyTable::Tick(TimePoint aNow)
{
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    auto& part = mPartitions[i];
    const bool isDue = aNow - part.mSentAt >= mOptions.mResendInterval;
    switch (part.mRole) {
      case HomeRole::None:
        break;
      case HomeRole::Collecting:
        if (isDue) {
          SendCollectRequests(i, aNow);
        }
        break;
      case HomeRole::Pulling:
        if (aNow - part.mProgressAt >= mOptions.mTransferTimeout) {
          // The source no longer answers; collect from all homes again.
          part.mRole = HomeRole::Collecting;
          part.mPromises = { { mSelf, part.mLastCompletedView } };
          part.mStaged.clear();
          SendCollectRequests(i, aNow);
        } else if (isDue) {
          SendPull(i, aNow);
        }
        break;
      case HomeRole::Syncing:
        if (isDue) {
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
              aNow - record.mStartedAt >= mOptions.mBackupAckTimeout) {
            // The attempt was not permitted and never will be: a late
            // acknowledgement carries an older version.
            SetRecordState(i, key, RecordState::NotRun, aNow);
            Refuse(record.mAttempt.mReceiver,
                   record.mAttempt,
                   ResultCode::HomeUnavailable);
          } else if (aNow - record.mSentAt >= mOptions.mResendInterval) {
            SendPut(i, key, aNow);
          }
        }
        break;
      }
    }
  }
  // Expires records of one partition per call, so that each call takes a
  // bounded time.
  mNextExpiryPartition = (mNextExpiryPartition + 1) % kHomePartitions;
  auto& part = mPartitions[mNextExpiryPartition];
  if (part.mRole == HomeRole::Syncing) {
    // Pages are rebuilt when they are resent and must not change in between.
    return;
  }
  for (auto it = part.mRecords.begin(); it != part.mRecords.end();) {
    const auto next = std::next(it);
    if (it->second.mExpiresAt <= aNow) {
      EraseRecord(part, it);
    }
    it = next;
  }
}

// --- Storage ---------------------------------------------------------------

RecordCopy IdempotencyTable::CopyOf(const RecordKey& aKey,
                                    const Record& aRecord,
                                    TimePoint aNow) const
{
  // A home that takes over must assume that a pending attempt was permitted.
  const auto state = aRecord.mState == RecordState::Pending
                       ? RecordState::Started
                       : aRecord.mState;
  return { .mKey = aKey,
           .mFingerprint = aRecord.mFingerprint,
           .mState = state,
           .mAttempt = aRecord.mAttempt,
           .mVersion = aRecord.mVersion,
           .mAge = aNow - aRecord.mStartedAt,
           .mTimeToExpiry = aRecord.mExpiresAt - aNow,
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
  out.mStartedAt = aNow - aCopy.mAge;
  out.mExpiresAt = aNow + aCopy.mTimeToExpiry;
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
    bytes += kRecordOverheadBytes + it->first.mWorkspace.Text().size() +
             it->first.mKey.size() + it->second.mAnswer.size();
    if (!out.mRecords.empty() && bytes > mOptions.mMaxPageBytes) {
      out.mHasMoreRecords = true;
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

void IdempotencyTable::EraseRecord(Partition& aPart,
                                   RecordMap::iterator aPosition)
{
  SetAnswer(aPosition->second, {});
  aPart.mDirty.erase(aPosition->first);
  aPart.mRecords.erase(aPosition);
  --mRecordCount;
}

void IdempotencyTable::ReplaceRecords(Partition& aPart, RecordMap aRecords)
{
  for (const auto& [key, record] : aPart.mRecords) {
    mAnswerBytes -= record.mAnswer.size();
  }
  mRecordCount -= aPart.mRecords.size();
  aPart.mRecords = std::move(aRecords);
  aPart.mDirty.clear();
  for (const auto& [key, record] : aPart.mRecords) {
    mAnswerBytes += record.mAnswer.size();
    aPart.mNextVersion = std::max(aPart.mNextVersion, record.mVersion + 1);
  }
  mRecordCount += aPart.mRecords.size();
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
    [&](const auto& aBody) {
      if constexpr (requires { aBody.mScope; }) {
        if (aBody.mScope.mPartition >= kHomePartitions) {
          return;
        }
      }
      if constexpr (requires { On(aFrom, aBody, aNow); }) {
        On(aFrom, aBody, aNow);
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
  return mPartitions[aPartition].mLastCompletedView;
}

unsigned IdempotencyTable::Count(HomeRole aRole) const
{
  return unsigned(std::count_if(
    mPartitions.begin(), mPartitions.end(), [aRole](const Partition& aPart) {
      return aPart.mRole == aRole;
    }));
}

} // namespace pollenway
