#pragma once

#include "RecordCopy.h"
#include "ResultCode.h"

#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace pollenway {

/// A home's answer to a request with an idempotency key.
enum class BeginVerdict
{
  Run,          ///< May run, once, within the run window.
  StoredAnswer, ///< Ran before; the answer is attached.
  Refused,      ///< Answer with `mCode`, whose outcome is true.
};

/// Receiver → primary: may this attempt run?
struct RecordBegin
{
  RecordKey mKey;
  uint64_t mFingerprint = 0;
  AttemptId mAttempt;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKey, aSelf.mFingerprint, aSelf.mAttempt);
  }
};

struct RecordBeginReply
{
  AttemptId mAttempt;
  BeginVerdict mVerdict = BeginVerdict::Refused;
  ResultCode mCode = ResultCode::HomeUnavailable;
  std::string mAnswer;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mAttempt, aSelf.mVerdict, aSelf.mCode, aSelf.mAnswer);
  }
};

/// How an attempt ended.
enum class AttemptOutcome
{
  Answered,
  Unknown, ///< May have run.
  NotRun,  ///< Provably did not run and never will.
};

/// Receiver → primary; repeated until acknowledged.
struct RecordEnd
{
  RecordKey mKey;
  AttemptId mAttempt;
  AttemptOutcome mAttemptOutcome = AttemptOutcome::Unknown;
  /// Empty also if too large to store.
  std::string mAnswer;
  bool mHasAnswer = false;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKey,
                    aSelf.mAttempt,
                    aSelf.mAttemptOutcome,
                    aSelf.mAnswer,
                    aSelf.mHasAnswer);
  }
};

struct RecordEndReply
{
  AttemptId mAttempt;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mAttempt); }
};

/// Partition, its number of moves and the view in which a message is valid.
struct HomeScope
{
  unsigned mPartition = 0;
  uint64_t mMoves = 0;
  uint64_t mView = 0;

  auto operator<=>(const HomeScope&) const = default;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mPartition, aSelf.mMoves, aSelf.mView);
  }
};

/// Primary → backup: write a record.
struct RecordPut
{
  HomeScope mScope;
  RecordCopy mRecord;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mScope, aSelf.mRecord);
  }
};

struct RecordPutReply
{
  HomeScope mScope;
  RecordKey mKey;
  uint64_t mVersion = 0;
  bool mAccepted = false;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mScope, aSelf.mKey, aSelf.mVersion, aSelf.mAccepted);
  }
};

/// New primary → home of an earlier view: act in no view before `mScope.mView`
/// again, say what you completed, and give the records after `mAfter`.
struct RecordCollect
{
  HomeScope mScope;
  bool mWantRecords = false;
  std::optional<RecordKey> mAfter;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mScope, aSelf.mWantRecords, aSelf.mAfter);
  }
};

struct RecordCollectReply
{
  HomeScope mScope;
  /// False if the home has promised itself to a newer view or move.
  bool mPromised = false;
  /// Last view whose collection the home completed; 0 if none.
  uint64_t mLastCompletedView = 0;
  bool mHasRecords = false;
  std::optional<RecordKey> mAfter;
  std::vector<RecordCopy> mRecords;
  bool mHasMoreRecords = false;
  /// Time for which all keys are answered as unknown; none if zero.
  Duration mRecordsLostTime{};
  uint64_t mNextVersion = 1;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mScope,
                    aSelf.mPromised,
                    aSelf.mLastCompletedView,
                    aSelf.mHasRecords,
                    aSelf.mAfter,
                    aSelf.mRecords,
                    aSelf.mHasMoreRecords,
                    aSelf.mRecordsLostTime,
                    aSelf.mNextVersion);
  }
};

/// New primary → backup: one page of the partition's records, or the word that
/// the pair is that of view `mUnchangedSince`, so that the backup has them.
struct RecordSync
{
  HomeScope mScope;
  /// 0: pages follow.
  uint64_t mUnchangedSince = 0;
  unsigned mPage = 0;
  bool mLast = false;
  std::vector<RecordCopy> mRecords;
  Duration mRecordsLostTime{};

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mScope,
                    aSelf.mPage,
                    aSelf.mUnchangedSince,
                    aSelf.mLast,
                    aSelf.mRecords,
                    aSelf.mRecordsLostTime);
  }
};

struct RecordSyncReply
{
  HomeScope mScope;
  unsigned mPage = 0;
  bool mAccepted = false;
  /// The backup has not completed `mUnchangedSince` and needs the pages.
  bool mNeedsPages = false;

  static auto Fields(auto& aSelf)
  {
    return std::tie(
      aSelf.mScope, aSelf.mPage, aSelf.mAccepted, aSelf.mNeedsPages);
  }
};

using HomeMessage = std::variant<RecordBegin,
                                 RecordBeginReply,
                                 RecordEnd,
                                 RecordEndReply,
                                 RecordPut,
                                 RecordPutReply,
                                 RecordCollect,
                                 RecordCollectReply,
                                 RecordSync,
                                 RecordSyncReply>;

/// A message to send. It is meant for this incarnation only.
struct HomeAction
{
  HomeMember mTo;
  HomeMessage mMessage;
};

} // namespace pollenway
