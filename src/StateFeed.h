#pragma once

#include "ObjectHistory.h"
#include "ObjectStore.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <string>

namespace pollenway {

/// Keeps a copy of one kind of the store's objects up to date: lists it, then
/// watches for changes. While the store does not answer, the copy stays.
///
/// The first listing may be stale; the watch continues from its revision.
class StateFeed
{
public:
  struct Callbacks
  {
    /// A complete listing, first and after each gap in the history.
    std::function<void(const StoreListing&)> mOnListing;
    std::function<void(const StoreChange&)> mOnChange;
    /// The source does not bring what other instances have seen; may be empty.
    std::function<void()> mOnSilent = {};
  };
  struct Options
  {
    std::string mKind;
    /// Longest time that one watch waits. A longer one needs fewer calls.
    Duration mWatchTimeout = std::chrono::seconds(25);
    /// Pause after a change, in which further ones gather into one answer.
    Duration mBatchDelay = std::chrono::milliseconds(300);
    Duration mInitialRetryDelay = std::chrono::milliseconds(150);
    Duration mMaxRetryDelay = std::chrono::milliseconds(1000);
    uint64_t mSeed = 1;
  };

  /// Follows the objects through `aSource`, and looks into `aStore` when the
  /// source has gone silent. Both may be the same.
  StateFeed(asio::any_io_executor aExecutor,
            ObjectStore& aStore,
            ObjectStore& aSource,
            Options aOptions,
            Callbacks aCallbacks);

  void Start();
  bool HasListing() const { return mHasListing; }
  /// The store's last call failed or has not ended yet.
  bool IsLost() const { return mLost; }
  /// Since when; meaningless unless it is lost.
  TimePoint LostAt() const { return mLostAt; }
  /// When the store answered again after its last failure; the zero time if
  /// it never failed.
  TimePoint RegainedAt() const { return mRegainedAt; }
  uint64_t Revision() const { return mRevision; }
  const ObjectHistory& History() const { return mHistory; }
  /// Called after each change of the history, and when the store is lost.
  void OnAdvanced(std::function<void()> aCallback)
  {
    mOnAdvanced = std::move(aCallback);
  }
  /// Version of the newest object that was seen.
  uint64_t NewestVersion() const { return mNewestVersion; }
  /// Another instance has seen the object version `aVersion`. If this feed
  /// does not see it within some time, its watch has gone silent, and the
  /// objects are listed beside it.
  void ExpectVersion(uint64_t aVersion, TimePoint aNow);

private:
  Awaitable<void> Run();
  Awaitable<bool> List(ObjectStore& aStore);
  Awaitable<void> Refresh();
  Awaitable<bool> Watch();
  Awaitable<void> Pause(Duration aTime);
  void OnStoreFailure(const Error& aError);
  void OnStoreAnswer();
  void NotifyAdvanced();

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  ObjectStore& mSource;
  Options mOptions;
  Callbacks mCallbacks;
  std::function<void()> mOnAdvanced;
  ObjectHistory mHistory;
  bool mHasListing = false;
  bool mNeedsListing = true;
  bool mLost = false;
  TimePoint mLostAt{};
  TimePoint mRegainedAt{};
  uint64_t mRevision = 0;
  uint64_t mNewestVersion = 0;
  uint64_t mExpectedVersion = 0;
  TimePoint mExpectedSince{};
  TimePoint mRefreshedAt{};
};

} // namespace pollenway
