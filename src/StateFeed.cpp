#include "StateFeed.h"

#include "Backoff.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>

namespace pollenway {

namespace {

/// Time in which an own watch brings what another instance has seen. A longer
/// one would leave too little of the operators' bounds of some seconds.
constexpr Duration kExpectedWithin = std::chrono::milliseconds(1200);
/// Least time between two listings beside the watch.
constexpr Duration kRefreshInterval = std::chrono::seconds(2);

} // namespace

StateFeed::StateFeed(asio::any_io_executor aExecutor,
                     ObjectStore& aStore,
                     Options aOptions,
                     Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
{
}

void StateFeed::Start()
{
  Spawn(mExecutor, Run());
}

Awaitable<void> StateFeed::Run()
{
  Backoff backoff({ mOptions.mFirstRetry, mOptions.mLongestRetry },
                  mOptions.mSeed);
  for (;;) {
    bool done = false;
    if (mNeedsListing) {
      done = co_await List();
    } else {
      done = co_await Watch();
    }
    if (done) {
      backoff.Reset();
    } else {
      co_await Pause(backoff.Next());
    }
  }
}

Awaitable<bool> StateFeed::List()
{
  auto listing = co_await mStore.List(mOptions.mKind);
  if (!listing) {
    NoteFailure(listing.error());
    co_return false;
  }
  NoteAnswer();
  mNeedsListing = false;
  mRevision = std::max(mRevision, listing.value().mRevision);
  for (const auto& it : listing.value().mObjects) {
    mNewestVersion = std::max(mNewestVersion, it.mVersion);
  }
  mCallbacks.mOnListing(listing.value());
  mHasListing = true;
  co_return true;
}

Awaitable<bool> StateFeed::Watch()
{
  auto changes =
    co_await mStore.Watch(mOptions.mKind, mRevision, mOptions.mWatchTime);
  if (!changes) {
    if (changes.error().mCode == ResultCode::InvalidState) {
      Log(LogLevel::Info,
          "store_history_gone",
          { { "kind", mOptions.mKind }, { "revision", mRevision } });
      mNeedsListing = true;
      co_return true;
    }
    NoteFailure(changes.error());
    co_return false;
  }
  NoteAnswer();
  mRevision = std::max(mRevision, changes.value().mRevision);
  for (const auto& it : changes.value().mChanges) {
    mNewestVersion = std::max(mNewestVersion, it.mVersion);
    mCallbacks.mOnChange(it);
  }
  if (!changes.value().mChanges.empty()) {
    co_await Pause(mOptions.mGatherTime);
  }
  co_return true;
}

Awaitable<void> StateFeed::Pause(Duration aTime)
{
  asio::steady_timer timer(mExecutor, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

void StateFeed::ExpectVersion(uint64_t aVersion, TimePoint aNow)
{
  if (aVersion <= mNewestVersion || mNeedsListing) {
    mExpectedVersion = 0;
    return;
  }
  if (mExpectedVersion == 0) {
    mExpectedVersion = aVersion;
    mExpectedSince = aNow;
    return;
  }
  if (mNewestVersion >= mExpectedVersion) {
    mExpectedVersion = 0;
    return;
  }
  if (aNow - mExpectedSince >= kExpectedWithin &&
      aNow - mRefreshedAt >= kRefreshInterval) {
    mRefreshedAt = aNow;
    Log(LogLevel::Warn,
        "watch_silent",
        { { "kind", mOptions.mKind },
          { "newest", mNewestVersion },
          { "expected", mExpectedVersion } });
    Spawn(mExecutor, Refresh());
  }
}

Awaitable<void> StateFeed::Refresh()
{
  const bool done = co_await List();
  if (done) {
    mExpectedVersion = 0;
  }
}

void StateFeed::NoteFailure(const Error& aError)
{
  if (!mLost) {
    Log(LogLevel::Warn,
        "store_lost",
        { { "kind", mOptions.mKind },
          { "revision", mRevision },
          { "reason", aError.mDetail } });
  }
  mLost = true;
}

void StateFeed::NoteAnswer()
{
  if (!mLost) {
    return;
  }
  mLost = false;
  mRegainedAt = SteadyNow();
  Log(LogLevel::Info,
      "store_regained",
      { { "kind", mOptions.mKind }, { "revision", mRevision } });
}

} // namespace pollenway
