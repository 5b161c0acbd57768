#pragma once

#include "RecordCopy.h"
#include "ResultCode.h"

#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace pollenway {

/// A home's decision on a request with an idempotency key.
enum class BeginVerdict
{
  Run,          ///< May run once; must start within the start window.
  StoredAnswer, ///< Has run before; the stored answer is attached.
  Refused,      ///< Refuse with `mCode`; `OutcomeOf` tells if it ran.
};

/// Receiver → primary: requests permission to run an attempt.
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

/// Outcome of an attempt, as reported by its receiver.
enum class AttemptOutcome
{
  Answered,
  Unknown, ///< May have run.
  NotRun,  ///< Provably did not run and never will.
};

/// Receiver → primary: reports the outcome of an attempt. Resent until
/// acknowledged.
struct RecordEnd
{
  RecordKey mKey;
  AttemptId mAttempt;
  AttemptOutcome mAttemptOutcome = AttemptOutcome::Unknown;
  /// Also empty if the answer is too large to store.
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

/// The partition, its number of moves and the view for which a message is
/// valid.
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

/// Primary → backup: replicates a record.
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

/// New primary → home of an earlier view: requests a promise not to act in any
/// view before `mScope.mView`. The reply carries the last completed view and,
/// if `mWantRecords`, the records after `mAfter`.
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
  /// False if the home has already promised a newer view or accepted a newer
  /// move.
  bool mPromised = false;
  /// Last view whose collection the home completed; 0 if none.
  uint64_t mLastCompletedView = 0;
  bool mHasRecords = false;
  std::optional<RecordKey> mAfter;
  std::vector<RecordCopy> mRecords;
  bool mHasMoreRecords = false;
  /// Remaining time for which new keys are refused with `RecordsLost`; zero if
  /// none.
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

/// New primary → backup: one page of the partition's records. If
/// `mUnchangedSince` is set, no page is sent: primary and backup are those of
/// that view, and the backup already has the records.
struct RecordSync
{
  HomeScope mScope;
  /// 0 if pages are sent.
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
  /// True if the backup has not completed view `mUnchangedSince` and needs the
  /// pages.
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

/// A message to send. Valid only for the incarnation in `mTo`.
struct HomeAction
{
  HomeMember mTo;
  HomeMessage mMessage;
};

} // namespace pollenway
