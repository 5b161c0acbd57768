#pragma once

#include "ObjectStore.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <string>

namespace pollenway {

/// Keeps a copy of one kind of the store's objects up to date: lists it, then
/// watches for changes. While the store does not answer, the copy stays.
class StateFeed
{
public:
  struct Callbacks
  {
    /// A complete listing, first and after each gap in the history.
    std::function<void(const StoreListing&)> mOnListing;
    std::function<void(const StoreChange&)> mOnChange;
  };
  struct Options
  {
    std::string mKind;
    /// Longest time that one watch waits. A longer one needs fewer calls.
    Duration mWatchTime = std::chrono::seconds(25);
    /// Pause after a change, in which further ones gather into one answer.
    Duration mGatherTime = std::chrono::milliseconds(300);
    Duration mFirstRetry = std::chrono::milliseconds(150);
    Duration mLongestRetry = std::chrono::milliseconds(1000);
    uint64_t mSeed = 1;
  };

  StateFeed(asio::any_io_executor aExecutor,
            ObjectStore& aStore,
            Options aOptions,
            Callbacks aCallbacks);

  void Start();
  bool HasListing() const { return mHasListing; }
  /// The store's last call failed or has not ended yet.
  bool IsLost() const { return mLost; }
  /// When the store answered again after its last failure; the zero time if
  /// it never failed.
  TimePoint RegainedAt() const { return mRegainedAt; }
  uint64_t Revision() const { return mRevision; }
  /// Version of the newest object that was seen.
  uint64_t NewestVersion() const { return mNewestVersion; }
  /// Another instance has seen the object version `aVersion`. If this feed
  /// does not see it within some time, its watch has gone silent, and the
  /// objects are listed beside it.
  void ExpectVersion(uint64_t aVersion, TimePoint aNow);

private:
  Awaitable<void> Run();
  Awaitable<bool> List();
  Awaitable<void> Refresh();
  Awaitable<bool> Watch();
  Awaitable<void> Pause(Duration aTime);
  void NoteFailure(const Error& aError);
  void NoteAnswer();

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  Options mOptions;
  Callbacks mCallbacks;
  bool mHasListing = false;
  bool mNeedsListing = true;
  bool mLost = false;
  TimePoint mRegainedAt{};
  uint64_t mRevision = 0;
  uint64_t mNewestVersion = 0;
  uint64_t mExpectedVersion = 0;
  TimePoint mExpectedSince{};
  TimePoint mRefreshedAt{};
};

} // namespace pollenway
