#include "FeedRelay.h"

#include "SteadyTime.h"

namespace pollenway {

namespace {

/// Maximum time for which a request may wait for a change.
constexpr Duration kMaxObjectsWait = std::chrono::seconds(10);
/// An overdue watch is checked. If it is still unanswered after this time, the
/// other instances read the store themselves.
constexpr Duration kOverdueGraceTime = std::chrono::milliseconds(300);
/// Objects beyond this size don't fit into a frame with its envelope; the other
/// instances then read the store themselves.
constexpr size_t kMaxObjectBytes = kMaxPeerFrame - 64 * 1024;

peer::ObjectsRead LimitToFrameSize(peer::ObjectsRead aRead)
{
  size_t bytes = 0;
  for (const auto& it : aRead.mRecords) {
    bytes += it.mName.size() + (it.mValue ? it.mValue->size() : 0) + 16;
  }
  return bytes <= kMaxObjectBytes ? std::move(aRead) : peer::ObjectsRead();
}

/// The other instances are not redirected to the store when it has only closed
/// a watch.
bool HasOutage(const StateFeed& aFeed)
{
  return aFeed.IsLost() &&
         SteadyNow() - aFeed.LostAt() >= StateFeed::kMinOutageTime;
}

} // namespace

FeedRelay::FeedRelay(asio::any_io_executor aExecutor, IsReading aIsReading)
  : mExecutor(aExecutor)
  , mIsReading(std::move(aIsReading))
{
}

void FeedRelay::Add(const std::string& aKind, StateFeed& aFeed)
{
  mFeeds[aKind] = &aFeed;
}

void FeedRelay::WakeAll()
{
  for (auto* it : mWaiting) {
    it->cancel();
  }
}

std::optional<Duration> FeedRelay::OverdueTime() const
{
  std::optional<Duration> out;
  for (const auto& [kind, feed] : mFeeds) {
    if (mIsReading(kind)) {
      out = std::max(out, feed->OverdueTime());
    }
  }
  return out;
}

peer::ObjectsRead FeedRelay::Read(const peer::ReadObjects& aRequest) const
{
  peer::ObjectsRead out;
  const auto it = mFeeds.find(aRequest.mKind);
  if (it == mFeeds.end() ||
      (!aRequest.mIsListing &&
       (!mIsReading(aRequest.mKind) || OverdueTime() >= kOverdueGraceTime)) ||
      !it->second->HasListing() || HasOutage(*it->second)) {
    return out;
  }
  const auto& history = it->second->History();
  out.mAnswer = FeedAnswer::Objects;
  if (aRequest.mIsListing) {
    const auto listing = history.Listing();
    out.mPosition = listing.mPosition;
    for (const auto& object : listing.mObjects) {
      out.mRecords.push_back({ object.mName, object.mVersion, object.mValue });
    }
    return LimitToFrameSize(std::move(out));
  }
  if (history.Position().mEra < aRequest.mAfter.mEra) {
    return {};
  }
  const auto changes = history.Since(aRequest.mAfter);
  if (!changes) {
    out.mAnswer = FeedAnswer::HistoryGone;
    return out;
  }
  out.mPosition = changes->mPosition;
  for (const auto& change : changes->mChanges) {
    out.mRecords.push_back({ change.mName, change.mVersion, change.mValue });
  }
  return LimitToFrameSize(std::move(out));
}

bool FeedRelay::IsFirstListingPending(const std::string& aKind) const
{
  const auto it = mFeeds.find(aKind);
  return it != mFeeds.end() && !it->second->HasListing() &&
         !HasOutage(*it->second);
}

Awaitable<peer::ObjectsRead> FeedRelay::Answer(peer::ReadObjects aRequest)
{
  const TimePoint until =
    SteadyNow() + std::min(aRequest.mWait, kMaxObjectsWait);
  for (;;) {
    auto read = Read(aRequest);
    const bool hasAnswer = read.mAnswer == FeedAnswer::NotReading
                             ? !IsFirstListingPending(aRequest.mKind)
                             : read.mAnswer != FeedAnswer::Objects ||
                                 !read.mRecords.empty() || aRequest.mIsListing;
    if (hasAnswer || SteadyNow() >= until) {
      co_return read;
    }
    Duration wait = until - SteadyNow();
    if (mFeeds.at(aRequest.mKind)->IsLost()) {
      wait = std::min(wait, StateFeed::kMinOutageTime);
    }
    const auto overdue = OverdueTime();
    if (overdue && *overdue < kOverdueGraceTime) {
      wait = std::min(wait, kOverdueGraceTime - *overdue);
    }
    asio::steady_timer timer(mExecutor, wait);
    mWaiting.insert(&timer);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    mWaiting.erase(&timer);
  }
}

} // namespace pollenway
