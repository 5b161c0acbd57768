#include "StateFeed.h"

#include "Backoff.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenway {

namespace {

/// Time within which this instance's watch delivers what another instance has
/// seen: the batch delays here and at the reader, and a round trip. A longer
/// time would leave too little of the operators' limits of some seconds.
constexpr Duration kMaxWatchDelay = std::chrono::milliseconds(800);
/// Minimum time between two listings in addition to the watch.
constexpr Duration kRefreshInterval = std::chrono::seconds(1);
/// Minimum time between two checks of a watch that may have gone silent.
constexpr Duration kCheckInterval = std::chrono::milliseconds(400);
/// Time allowed for the answer beyond the wait of a watch. A degraded store in
/// another region answers within it.
constexpr Duration kMaxAnswerDelay = std::chrono::milliseconds(700);
/// Maximum wait of the first watch after a failure or a silent watch. The store
/// may have been restored and have given out the watch's revision again; only
/// its answer tells its era.
constexpr Duration kEraCheckWait = std::chrono::milliseconds(10);

} // namespace

struct StateFeed::PendingWatch
{
  PendingWatch(asio::any_io_executor aExecutor,
               StorePosition aAfter,
               Duration aTimeout)
    : mAfter(aAfter)
    , mBeganAt(SteadyNow())
    , mDueAt(mBeganAt + aTimeout)
    , mEnd(aExecutor, aTimeout + kMaxAnswerDelay)
  {
  }

  StorePosition mAfter;
  TimePoint mBeganAt;
  /// Time at which the watch, or a check of it, is answered at the latest.
  TimePoint mDueAt;
  /// Expires when the answer is overdue. Cancelled when the watch has ended or
  /// is replaced.
  asio::steady_timer mEnd;
  /// Time at which the answer was found overdue.
  std::optional<TimePoint> mOverdueAt;
  bool mIsReplaced = false;
  std::optional<Result<StoreChanges>> mChanges;
};

StateFeed::StateFeed(asio::any_io_executor aExecutor,
                     ObjectStore& aStore,
                     ObjectStore& aSource,
                     Options aOptions,
                     Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mSource(aSource)
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
  Backoff backoff({ mOptions.mInitialRetryDelay, mOptions.mMaxRetryDelay },
                  mOptions.mSeed);
  for (;;) {
    bool succeeded = false;
    if (mNeedsListing) {
      succeeded = co_await List(IsRefusedAgain() ? mStore : mSource);
    } else {
      succeeded = co_await Watch();
    }
    // A listing between refused watches is no progress.
    if (!succeeded || IsRefusedAgain()) {
      co_await Pause(backoff.Next());
    } else if (mRefusedWatches == 0) {
      backoff.Reset();
    }
  }
}

bool StateFeed::IsBehind(StorePosition aListed, const ObjectStore& aStore) const
{
  if (aListed.mEra != mPosition.mEra) {
    return aListed.mEra < mPosition.mEra;
  }
  // A store that refuses the position straight after a listing does not have
  // it, so that its own listing counts.
  const bool isRefusedByStore = IsRefusedAgain() && &aStore == &mStore;
  return aListed < mPosition && !isRefusedByStore;
}

Awaitable<bool> StateFeed::List(ObjectStore& aStore)
{
  const StorePosition before = mPosition;
  const TimePoint calledAt = SteadyNow();
  auto listing = co_await aStore.List(mOptions.mKind,
                                      mHasListing ? ReadFreshness::Current
                                                  : mOptions.mFirstListing);
  if (!listing) {
    OnStoreFailure(listing.error(), calledAt);
    co_return false;
  }
  const StorePosition position = listing.value().mPosition;
  if (IsBehind(position, aStore)) {
    // The answer is late, or of a reader that is behind.
    if (mPosition == before && mCallbacks.mOnSilent) {
      mCallbacks.mOnSilent();
    }
    co_return false;
  }
  OnStoreAnswer();
  mNeedsListing = false;
  if (mHasListing && position.mEra > mPosition.mEra) {
    OnRestored(position);
  }
  if (position.mEra != mNewestVersion.mEra || position < mPosition) {
    mNewestVersion = { position.mEra, 0 };
  }
  mPosition = position;
  mListedPosition = position;
  for (const auto& it : listing.value().mObjects) {
    mNewestVersion = std::max(mNewestVersion, { position.mEra, it.mVersion });
  }
  mHistory.Replace(listing.value());
  mCallbacks.mOnListing(listing.value());
  mHasListing = true;
  NotifyAdvanced();
  NotifyReached({});
  co_return true;
}

Awaitable<bool> StateFeed::Watch()
{
  const StorePosition after = mPosition;
  const bool isCheck = mLost || std::exchange(mIsWatchReplaced, false);
  const Duration timeout = isCheck
                             ? std::min(kEraCheckWait, mOptions.mWatchTimeout)
                             : mOptions.mWatchTimeout;
  const auto pending =
    std::make_shared<PendingWatch>(mExecutor, after, timeout);
  mPendingWatch = pending;
  Spawn(mExecutor, RunWatch(pending, timeout));
  co_await AwaitAnswer(pending);
  mPendingWatch.reset();
  if (!pending->mChanges) {
    // The answer of the replaced watch is ignored if it comes.
    mIsWatchReplaced = true;
    co_return true;
  }
  auto& changes = *pending->mChanges;
  if (!changes) {
    if (changes.error().mCode == ResultCode::InvalidState) {
      if (mPosition != after) {
        // A concurrent listing has already replaced the position.
        co_return true;
      }
      Log(LogLevel::Info,
          "store_history_gone",
          { { "kind", mOptions.mKind },
            { "era", after.mEra.mValue },
            { "revision", after.mRevision } });
      mNeedsListing = true;
      ++mRefusedWatches;
      co_return !IsRefusedAgain();
    }
    OnStoreFailure(changes.error(), pending->mDueAt);
    co_return false;
  }
  OnStoreAnswer();
  mRefusedWatches = 0;
  if (mPosition != after) {
    // A concurrent listing has already delivered a part of these changes. The
    // next watch continues from it.
    co_return true;
  }
  const StorePosition position = changes.value().mPosition;
  if (position < mPosition) {
    co_return false;
  }
  mPosition = position;
  NotifyReached(changes.value().mChanges);
  mHistory.RemoveCovered(changes.value());
  mHistory.Append(changes.value());
  for (const auto& it : changes.value().mChanges) {
    mNewestVersion = std::max(mNewestVersion, { position.mEra, it.mVersion });
    mCallbacks.mOnChange(it);
  }
  if (!changes.value().mChanges.empty()) {
    NotifyAdvanced();
    co_await Pause(mOptions.mBatchDelay);
  }
  co_return true;
}

Awaitable<void> StateFeed::RunWatch(std::shared_ptr<PendingWatch> aWatch,
                                    Duration aTimeout)
{
  auto changes =
    co_await mSource.Watch(mOptions.mKind, aWatch->mAfter, aTimeout);
  if (!aWatch->mChanges) {
    aWatch->mChanges.emplace(std::move(changes));
    aWatch->mEnd.cancel();
  }
}

Awaitable<void> StateFeed::AwaitAnswer(std::shared_ptr<PendingWatch> aWatch)
{
  while (!aWatch->mChanges && !aWatch->mIsReplaced) {
    ErrorCode ec;
    co_await aWatch->mEnd.async_wait(Into(ec));
    if (ec) {
      continue;
    }
    aWatch->mEnd.expires_at(asio::steady_timer::time_point::max());
    if (mLost) {
      continue;
    }
    Log(LogLevel::Warn,
        "watch_overdue",
        { { "kind", mOptions.mKind },
          { "era", aWatch->mAfter.mEra.mValue },
          { "revision", aWatch->mAfter.mRevision } });
    aWatch->mOverdueAt = SteadyNow();
    if (mOnOverdue) {
      mOnOverdue();
    }
  }
}

std::optional<Duration> StateFeed::OverdueTime() const
{
  return mPendingWatch && mPendingWatch->mOverdueAt
           ? std::optional<Duration>(SteadyNow() - *mPendingWatch->mOverdueAt)
           : std::nullopt;
}

void StateFeed::ReplaceWatch()
{
  if (mPendingWatch) {
    mPendingWatch->mIsReplaced = true;
    mPendingWatch->mEnd.cancel();
  }
}

void StateFeed::CheckWatch(Duration aMinAge)
{
  const TimePoint now = SteadyNow();
  if (mPendingWatch && !mLost && now - mPendingWatch->mBeganAt >= aMinAge &&
      now - mCheckedAt >= kCheckInterval) {
    mCheckedAt = now;
    mPendingWatch->mDueAt =
      std::min(mPendingWatch->mDueAt, now + kEraCheckWait);
    Spawn(mExecutor, RunWatch(mPendingWatch, kEraCheckWait));
  }
}

Awaitable<void> StateFeed::Pause(Duration aTime)
{
  asio::steady_timer timer(mExecutor, aTime);
  ErrorCode ec;
  co_await timer.async_wait(Into(ec));
}

void StateFeed::ExpectVersion(StorePosition aVersion, TimePoint aNow)
{
  if (HasReceived(mExpectedVersion) || mNeedsListing) {
    mExpectedVersion = {};
  }
  if (mExpectedVersion == StorePosition{}) {
    // A report of an instance that is also behind carries no information.
    if (!HasReceived(aVersion) && !mNeedsListing) {
      mExpectedVersion = aVersion;
      mExpectedSince = aNow;
    }
    return;
  }
  if (aNow - mExpectedSince < kMaxWatchDelay ||
      aNow - mRefreshedAt < kRefreshInterval) {
    return;
  }
  mRefreshedAt = aNow;
  Log(LogLevel::Warn,
      "watch_silent",
      { { "kind", mOptions.mKind },
        { "newest_era", mNewestVersion.mEra.mValue },
        { "newest", mNewestVersion.mRevision },
        { "expected_era", mExpectedVersion.mEra.mValue },
        { "expected", mExpectedVersion.mRevision } });
  Spawn(mExecutor, Refresh(mExpectedVersion));
}

bool StateFeed::HasReceived(StorePosition aVersion) const
{
  // A listing contains all versions up to its position, also those of objects
  // that have been deleted since.
  return std::max(mNewestVersion, mListedPosition) >= aVersion;
}

Awaitable<bool> StateFeed::FetchVersion(StorePosition aVersion)
{
  if (!mPendingWatch) {
    // The next watch begins after the batch delay.
    co_await Pause(mOptions.mBatchDelay);
  }
  const auto pending = mPendingWatch;
  if (!pending || pending->mAfter.mEra != aVersion.mEra) {
    co_return HasReceived(aVersion);
  }
  auto changes =
    co_await mStore.Watch(mOptions.mKind, pending->mAfter, kEraCheckWait);
  if (!changes ||
      std::ranges::none_of(changes.value().mChanges, [&](const auto& aChange) {
        return aChange.mVersion >= aVersion.mRevision;
      })) {
    co_return HasReceived(aVersion);
  }
  if (!pending->mChanges) {
    pending->mChanges.emplace(std::move(changes));
    pending->mEnd.cancel();
  }
  co_return true;
}

Awaitable<void> StateFeed::Refresh(StorePosition aVersion)
{
  const bool isFetched = co_await FetchVersion(aVersion);
  if (isFetched) {
    co_return;
  }
  if (mCallbacks.mOnSilent) {
    mCallbacks.mOnSilent();
  }
  const bool succeeded = co_await List(mStore);
  if (succeeded) {
    mExpectedVersion = {};
    ReplaceWatch();
  }
}

void StateFeed::OnStoreFailure(const Error& aError, TimePoint aDueAt)
{
  if (!mLost) {
    mLostAt = std::min(SteadyNow(), aDueAt);
    Log(LogLevel::Warn,
        "store_lost",
        { { "kind", mOptions.mKind },
          { "revision", mPosition.mRevision },
          { "reason", aError.mDetail } });
  }
  mLost = true;
  NotifyAdvanced();
}

void StateFeed::NotifyAdvanced()
{
  if (mOnAdvanced) {
    mOnAdvanced();
  }
}

void StateFeed::NotifyReached(const std::vector<StoreChange>& aChanges)
{
  if (mOnReached) {
    mOnReached(mPosition, aChanges);
  }
}

void StateFeed::OnStoreAnswer()
{
  mAnsweredAt = SteadyNow();
  if (!mLost) {
    return;
  }
  mLost = false;
  const Duration lostTime = mAnsweredAt - mLostAt;
  if (lostTime >= kMinOutageTime) {
    mOutageEndedAt = mAnsweredAt;
  }
  Log(LogLevel::Info,
      "store_regained",
      { { "kind", mOptions.mKind },
        { "revision", mPosition.mRevision },
        { "lost_ms", int64_t(ToSeconds(lostTime) * 1000) } });
  if (mOnReturned) {
    mOnReturned();
  }
}

void StateFeed::OnRestored(StorePosition aPosition)
{
  mRestoredAt = SteadyNow();
  Log(LogLevel::Warn,
      "store_restored",
      { { "kind", mOptions.mKind },
        { "era", aPosition.mEra.mValue },
        { "revision", aPosition.mRevision },
        { "previous_era", mPosition.mEra.mValue },
        { "previous_revision", mPosition.mRevision } });
  if (mOnReturned) {
    mOnReturned();
  }
}

} // namespace pollenway
