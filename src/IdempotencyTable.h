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

/// Role of an instance for a partition of its zone.
enum class HomeRole
{
  None,       ///< Not the primary; may be the backup.
  Collecting, ///< Requests promises from homes of earlier views.
  Pulling,    ///< Fetches the records from one of these homes.
  Syncing,    ///< Sends the records to the backup.
  Serving,    ///< Answers requests.
};

/// The idempotency records that one instance keeps as primary or backup.
///
/// A request runs in view v only after both the primary and the backup of v
/// have written its record. Each home of v therefore knows all requests that
/// ran in v. If a home of v has not completed its collection for v and promises
/// not to act in v, no request ran in v. The primary of a new view needs, for
/// each earlier view since the last completed one, a promise from one home of
/// that view to act in no view before the new one. The protocol does not depend
/// on clocks.
class IdempotencyTable
{
public:
  IdempotencyTable(ZoneName aZone,
                   HomeMember aSelf,
                   IdempotencyOptions aOptions = {});

  /// Called when the home map or the view of this instance's zone has changed.
  void OnDirectory(const HomeDirectory& aDirectory, TimePoint aNow);

  /// Handles a message for this incarnation. The caller must discard messages
  /// for other incarnations.
  void OnMessage(const HomeMember& aFrom,
                 const HomeMessage& aMessage,
                 TimePoint aNow);

  /// Resends messages, handles timeouts and removes expired records. Called
  /// about every 100 ms.
  void Tick(TimePoint aNow);

  /// Returns and clears the messages to send. Some are addressed to this
  /// instance itself.
  std::vector<HomeAction> TakeActions();

  HomeRole Role(unsigned aPartition) const;
  /// Returns true if the partition is served without a backup, in a view with
  /// one member.
  bool IsWithoutBackup(unsigned aPartition) const;
  /// Returns the last view whose collection was completed for the partition; 0
  /// if none.
  uint64_t CompletedView(unsigned aPartition) const;
  /// Returns the number of partitions in a role, for the state dump.
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
    /// True if the backup has not acknowledged this version.
    bool mDirty = false;
    std::string mAnswer;
  };
  using RecordMap = std::map<RecordKey, Record>;
  struct Partition
  {
    uint64_t mMoves = 0;
    uint64_t mRecordsSince = 0;
    /// This instance acts in no view before this one.
    uint64_t mPromisedView = 0;
    uint64_t mLastCompletedView = 0;
    uint64_t mNextVersion = 1;
    RecordMap mRecords;
    std::set<RecordKey> mDirty;
    std::optional<TimePoint> mRecordsLostUntil;

    HomeRole mRole = HomeRole::None;
    uint64_t mRoleView = 0;
    std::optional<HomeMember> mBackup;
    /// Homes that gave their promise, with the last view that each completed.
    std::map<HomeMember, uint64_t> mPromises;
    HomeMember mSource;
    TimePoint mSentAt{};
    TimePoint mProgressAt{};
    unsigned mPage = 0;
    std::optional<RecordKey> mCursor;
    /// The last view served and its backup. If primary and backup stay the same
    /// in the next view, the backup needs no pages.
    uint64_t mServedView = 0;
    std::optional<HomeMember> mServedBackup;
    /// Value of `RecordSync::mUnchangedSince`; 0 if pages are sent.
    uint64_t mUnchangedSince = 0;

    /// Records received so far, while collecting or as backup.
    RecordMap mStaged;
    HomeScope mStagedScope;
    unsigned mNextStagedPage = 0;
  };
  struct Page
  {
    std::vector<RecordCopy> mRecords;
    bool mHasMoreRecords = false;
  };

  // Message handlers.
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

  // For the primary.
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

  // For any role.
  Page PageAfter(const Partition& aPart,
                 const std::optional<RecordKey>& aAfter,
                 TimePoint aNow) const;
  RecordCopy CopyOf(const RecordKey& aKey,
                    const Record& aRecord,
                    TimePoint aNow) const;
  Record RecordOf(const RecordCopy& aCopy, TimePoint aNow) const;
  void ReplaceRecords(Partition& aPart, RecordMap aRecords);
  void EraseRecord(Partition& aPart, RecordMap::iterator aPosition);
  void SetAnswer(Record& aRecord, std::string aAnswer);
  void ResetForMove(Partition& aPart, uint64_t aMoves);
  /// Returns false if the scope belongs to an earlier move or view than the
  /// partition has accepted. Resets the partition for a later move.
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
