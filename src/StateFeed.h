#pragma once

#include "ObjectHistory.h"
#include "ObjectStore.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// Keeps a local copy of one kind of the store's objects up to date: lists
/// them, then watches for changes. The copy is kept while the store does not
/// answer.
///
/// If the first listing is stale, the watch continues from its revision. If the
/// store was restored from an older copy, the objects are listed again.
class StateFeed
{
public:
  /// A store that is lost for a shorter time has had no outage: it may only
  /// have closed a watch.
  static constexpr Duration kMinOutageTime = std::chrono::milliseconds(700);

  struct Callbacks
  {
    /// Called with each complete listing: the first one, and one after each gap
    /// in the history or restore of the store.
    std::function<void(const StoreListing&)> mOnListing;
    std::function<void(const StoreChange&)> mOnChange;
    /// Called when the source does not deliver what this or other instances
    /// have seen; may be empty.
    std::function<void()> mOnSilent = {};
  };
  struct Options
  {
    std::string mKind;
    /// Maximum time that one watch waits. A longer one needs fewer calls.
    Duration mWatchTimeout = std::chrono::seconds(25);
    /// Delay after a change, during which further ones are batched into one
    /// answer.
    Duration mBatchDelay = std::chrono::milliseconds(300);
    Duration mInitialRetryDelay = std::chrono::milliseconds(150);
    Duration mMaxRetryDelay = std::chrono::milliseconds(1000);
    /// Freshness of the first listing. A stale one is cheaper, but may contain
    /// what was removed before a restart.
    ReadFreshness mFirstListing = ReadFreshness::Current;
    uint64_t mSeed = 1;
  };

  /// Watches the objects through `aSource`, and lists them from `aStore` when
  /// the source has gone silent. Both may be the same object.
  StateFeed(asio::any_io_executor aExecutor,
            ObjectStore& aStore,
            ObjectStore& aSource,
            Options aOptions,
            Callbacks aCallbacks);

  void Start();
  bool HasListing() const { return mHasListing; }
  /// Returns true from a failed call to the store until the next successful
  /// one.
  bool IsLost() const { return mLost; }
  /// Returns the time at which the store was lost: that of the failed call, or
  /// that at which its answer was due. Valid only while `IsLost()`.
  TimePoint LostAt() const { return mLostAt; }
  /// Returns the time at which the store answered again after its last outage,
  /// or the zero time if there was none.
  TimePoint OutageEndedAt() const { return mOutageEndedAt; }
  /// Returns the time of the last listing or answered watch, or the zero time
  /// before the first one.
  TimePoint AnsweredAt() const { return mAnsweredAt; }
  /// Returns the time of the first listing of the store's present era, or the
  /// zero time if the store has not been restored since this feed's first
  /// listing.
  TimePoint RestoredAt() const { return mRestoredAt; }
  uint64_t Revision() const { return mPosition.mRevision; }
  StorePosition Position() const { return mPosition; }
  const ObjectHistory& History() const { return mHistory; }
  /// Sets the callback for the first answer after a failure of the store, and
  /// for its return from an older copy. Other watches that were open meanwhile
  /// may never be answered.
  void OnReturned(std::function<void()> aCallback)
  {
    mOnReturned = std::move(aCallback);
  }
  /// Sets the callback for each position that this feed reaches, with the
  /// changes that were received; none for a listing.
  void OnReached(std::function<void(StorePosition,
                                    const std::vector<StoreChange>&)> aCallback)
  {
    mOnReached = std::move(aCallback);
  }
  /// Sets the callback for a watch that is not answered in time. It may have
  /// gone silent.
  void OnOverdue(std::function<void()> aCallback)
  {
    mOnOverdue = std::move(aCallback);
  }
  /// Returns the time since the answer of the pending watch was found overdue;
  /// empty if it was not. An event loop that is late may have the answer.
  std::optional<Duration> OverdueTime() const;
  /// Makes a short watch beside the pending one, because that one may have gone
  /// silent; the first answer counts. Does nothing while there is none that has
  /// been pending for `aMinAge`, while the store is lost, and for a time after
  /// the last check.
  void CheckWatch(Duration aMinAge = {});
  /// Sets the callback for each change of the history and for the loss of the
  /// store.
  void OnAdvanced(std::function<void()> aCallback)
  {
    mOnAdvanced = std::move(aCallback);
  }
  /// Returns the version of the newest object received in the present era.
  StorePosition NewestVersion() const { return mNewestVersion; }
  /// Called when another instance has seen the object version `aVersion`. If
  /// this feed does not receive it within a time limit, its watch has gone
  /// silent, and the objects are listed in addition to it.
  void ExpectVersion(StorePosition aVersion, TimePoint aNow);

private:
  struct PendingWatch;

  Awaitable<void> Run();
  Awaitable<bool> List(ObjectStore& aStore);
  /// Returns true if a listing is older than what this feed has received.
  bool IsBehind(StorePosition aListed, const ObjectStore& aStore) const;
  /// Returns true if the watch after a listing was refused as well.
  bool IsRefusedAgain() const { return mRefusedWatches >= 2; }
  /// Returns true if this feed has received the object version or a later one.
  bool HasReceived(StorePosition aVersion) const;
  /// Asks the store once for the changes up to `aVersion`, as the answer of the
  /// pending watch. Returns false if they can't be had so.
  Awaitable<bool> FetchVersion(StorePosition aVersion);
  /// Receives the object version that this feed has missed.
  Awaitable<void> Refresh(StorePosition aVersion);
  Awaitable<bool> Watch();
  Awaitable<void> RunWatch(std::shared_ptr<PendingWatch> aWatch,
                           Duration aTimeout);
  /// Waits until the watch is answered or replaced.
  Awaitable<void> AwaitAnswer(std::shared_ptr<PendingWatch> aWatch);
  /// Ends the wait for the pending watch. Its answer is ignored if it comes.
  void ReplaceWatch();
  Awaitable<void> Pause(Duration aTime);
  /// `aDueAt` is the time at which the answer of the failed call was due.
  void OnStoreFailure(const Error& aError, TimePoint aDueAt);
  void OnStoreAnswer();
  void OnRestored(StorePosition aPosition);
  void NotifyAdvanced();
  void NotifyReached(const std::vector<StoreChange>& aChanges);

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  ObjectStore& mSource;
  Options mOptions;
  Callbacks mCallbacks;
  std::function<void()> mOnAdvanced;
  std::function<void()> mOnReturned;
  std::function<void(StorePosition, const std::vector<StoreChange>&)>
    mOnReached;
  std::function<void()> mOnOverdue;
  std::shared_ptr<PendingWatch> mPendingWatch;
  bool mIsWatchReplaced = false;
  TimePoint mCheckedAt{};
  ObjectHistory mHistory;
  bool mHasListing = false;
  bool mNeedsListing = true;
  bool mLost = false;
  TimePoint mLostAt{};
  TimePoint mOutageEndedAt{};
  TimePoint mAnsweredAt{};
  TimePoint mRestoredAt{};
  /// Watches refused since the last one that succeeded.
  unsigned mRefusedWatches = 0;
  StorePosition mPosition;
  StorePosition mListedPosition;
  StorePosition mNewestVersion;
  StorePosition mExpectedVersion;
  TimePoint mExpectedSince{};
  TimePoint mRefreshedAt{};
};

} // namespace pollenway
