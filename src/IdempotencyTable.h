#pragma once

#include "HomeDirectory.h"
#include "HomeMessage.h"
#include "IdempotencyOptions.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace pollenway {

/// What an instance does for a partition of its zone.
enum class HomeRole
{
  None,       ///< Not primary. It may be the backup.
  Collecting, ///< Asks homes of earlier views for their promise.
  Pulling,    ///< Fetches the records of one of them.
  Syncing,    ///< Writes them to the backup.
  Serving,    ///< Answers requests.
};

/// The idempotency records that one instance keeps as primary or backup.
///
/// A request runs in view v only after primary and backup of v have both
/// written its record. So a single home of v is enough to learn all that ran in
/// v, and one promise of a home of v that had not completed its collection
/// proves that nothing ran in v. The primary of a new view needs, for each
/// earlier view since the last completed one, one home's promise to act in no
/// earlier view again. No clock is involved.
class IdempotencyTable
{
public:
  IdempotencyTable(ZoneName aZone,
                   HomeMember aSelf,
                   IdempotencyOptions aOptions = {});

  /// The map or the view of this instance's zone has changed.
  void OnDirectory(const HomeDirectory& aDirectory, TimePoint aNow);

  /// A message for this incarnation; those for another one must be dropped.
  void OnMessage(const HomeMember& aFrom,
                 const HomeMessage& aMessage,
                 TimePoint aNow);

  /// To be called every 100 ms or so: repeats, timeouts, expiry.
  void Tick(TimePoint aNow);

  /// Messages to send, some to this instance itself.
  std::vector<HomeAction> TakeActions();

  HomeRole Role(unsigned aPartition) const;
  /// Whether the partition is served without a backup, in a view of one member.
  bool IsWithoutBackup(unsigned aPartition) const;
  /// Last view completed for the partition; 0 if none.
  uint64_t CompletedView(unsigned aPartition) const;
  /// Partitions in a role, for the state dump.
  unsigned Count(HomeRole aRole) const;
  size_t Records() const { return mRecordCount; }
  size_t AnswerBytes() const { return mAnswerBytes; }

private:
  struct Record
  {
    uint64_t mFingerprint = 0;
    RecordState mState = RecordState::Pending;
    AttemptId mAttempt;
    uint64_t mVersion = 0;
    TimePoint mStartedAt{};
    TimePoint mExpiresAt{};
    TimePoint mSentAt{};
    /// The backup has not acknowledged this version.
    bool mDirty = false;
    std::string mAnswer;
  };
  using RecordMap = std::map<RecordKey, Record>;
  struct Partition
  {
    uint64_t mMoves = 0;
    uint64_t mRecordsSince = 0;
    /// This instance acts in no view below this one.
    uint64_t mPromisedView = 0;
    uint64_t mLastCompletedView = 0;
    uint64_t mNextVersion = 1;
    RecordMap mRecords;
    std::set<RecordKey> mDirty;
    std::optional<TimePoint> mRecordsLostUntil;

    HomeRole mRole = HomeRole::None;
    uint64_t mRoleView = 0;
    std::optional<HomeMember> mBackup;
    /// Homes that promised, with the last view that each completed.
    std::map<HomeMember, uint64_t> mPromises;
    HomeMember mSource;
    TimePoint mSentAt{};
    TimePoint mProgressAt{};
    unsigned mPage = 0;
    std::optional<RecordKey> mCursor;
    /// The last view served and its backup, which needs no pages again.
    uint64_t mServedView = 0;
    std::optional<HomeMember> mServedBackup;
    /// View to name in `RecordSync`; 0 if pages are sent.
    uint64_t mUnchangedSince = 0;

    /// Records received so far, as collector or as backup.
    RecordMap mStaged;
    HomeScope mStagedScope;
    unsigned mNextStagedPage = 0;
  };
  struct Page
  {
    std::vector<RecordCopy> mRecords;
    bool mHasMoreRecords = false;
  };

  // Messages, by sender's role.
  void On(const HomeMember& aFrom, const RecordBegin& aMessage, TimePoint aNow);
  void On(const HomeMember& aFrom, const RecordEnd& aMessage, TimePoint aNow);
  void On(const HomeMember& aFrom, const RecordPut& aMessage, TimePoint aNow);
  void On(const HomeMember& aFrom,
          const RecordPutReply& aMessage,
          TimePoint aNow);
  void On(const HomeMember& aFrom,
          const RecordCollect& aMessage,
          TimePoint aNow);
  void On(const HomeMember& aFrom,
          const RecordCollectReply& aMessage,
          TimePoint aNow);
  void On(const HomeMember& aFrom, const RecordSync& aMessage, TimePoint aNow);
  void On(const HomeMember& aFrom,
          const RecordSyncReply& aMessage,
          TimePoint aNow);

  // Primary.
  void StartCollecting(unsigned aPartition,
                       const HomePair& aPair,
                       TimePoint aNow);
  void TryFinishCollecting(unsigned aPartition, TimePoint aNow);
  void SendCollectRequests(unsigned aPartition, TimePoint aNow);
  void SendPull(unsigned aPartition, TimePoint aNow);
  void FinishCollecting(unsigned aPartition, TimePoint aNow);
  void SendSync(unsigned aPartition, TimePoint aNow);
  void StartServing(unsigned aPartition);
  void SendPut(unsigned aPartition, const RecordKey& aKey, TimePoint aNow);
  void SetRecordState(unsigned aPartition,
                      const RecordKey& aKey,
                      RecordState aState,
                      TimePoint aNow);
  void Permit(const Partition& aPart,
              const HomeMember& aTo,
              const Record& aRecord);
  void Refuse(const HomeMember& aTo,
              const AttemptId& aAttempt,
              ResultCode aCode);
  bool MayServe(const Partition& aPart) const;

  // Any role.
  Page PageAfter(const Partition& aPart,
                 const std::optional<RecordKey>& aAfter,
                 TimePoint aNow) const;
  RecordCopy CopyOf(const RecordKey& aKey,
                    const Record& aRecord,
                    TimePoint aNow) const;
  Record RecordOf(const RecordCopy& aCopy, TimePoint aNow) const;
  void ReplaceRecords(Partition& aPart, RecordMap aRecords);
  void EraseRecord(Partition& aPart, RecordMap::iterator aMessage);
  void SetAnswer(Record& aRecord, std::string aAnswer);
  void ResetForMove(Partition& aPart, uint64_t aMoves);
  bool AcceptScope(Partition& aPart, const HomeScope& aScope);
  HomeScope ScopeOf(unsigned aPartition) const;
  template<typename Message>
  void Send(const HomeMember& aTo, Message aMessage);

  ZoneName mZone;
  HomeMember mSelf;
  IdempotencyOptions mOptions;
  HomeView mView;
  std::vector<Partition> mPartitions;
  std::vector<HomeAction> mActions;
  size_t mRecordCount = 0;
  size_t mAnswerBytes = 0;
  unsigned mNextExpiryPartition = 0;
};

} // namespace pollenway
