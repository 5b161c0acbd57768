#include "RelayedStore.h"

#include "Logger.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// An instance receives the summaries of the others within two of their
/// intervals. If it started to watch earlier, it would consider itself the only
/// instance of its zone.
constexpr Duration kWatchDiscoveryTime = 1s;
constexpr Duration kDiscoveryPollInterval = 25ms;
/// Maximum wait for the reader's first listing.
constexpr Duration kListingWait = 1500ms;
/// Maximum wait for a change at a reader. It is short, so that an instance
/// abandons an unresponsive reader within the operators' limits of some
/// seconds. Each request costs the reader time, which small machines lack.
constexpr Duration kRelayWait = 2s;
/// Time allowed for the reader's answer beyond the wait; the reader is in the
/// same zone.
constexpr Duration kRelayTimeout = 600ms;
/// Addresses any incarnation of the reader: each one has the store's objects.
constexpr Incarnation kAnyIncarnation = 0;
/// Time for which an instance reads the store directly after its reader has
/// failed.
constexpr Duration kDirectReadTime = 5s;
/// Maximum wait of the first watch at the store after those at a reader. The
/// store may have been restored and have given out the watch's revision again;
/// only its answer tells its era.
constexpr Duration kEraCheckWait = 10ms;

} // namespace

RelayedStore::RelayedStore(asio::any_io_executor aExecutor,
                           ObjectStore& aStore,
                           PeerTransport& aPeers,
                           FindReader aFindReader,
                           Options aOptions)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mPeers(aPeers)
  , mFindReader(std::move(aFindReader))
  , mOptions(aOptions)
  , mStartedAt(SteadyNow())
{
}

Awaitable<void> RelayedStore::AwaitDiscovery(TimePoint aUntil)
{
  while (SteadyNow() < aUntil && !mFindReader()) {
    asio::steady_timer timer(
      mExecutor,
      std::min<Duration>(aUntil - SteadyNow(), kDiscoveryPollInterval));
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }
}

std::optional<IpEndpoint> RelayedStore::ReaderOf(const std::string& aKind) const
{
  const auto it = mDirectReadUntil.find(aKind);
  if (it != mDirectReadUntil.end() && SteadyNow() < it->second) {
    return std::nullopt;
  }
  return mFindReader();
}

Awaitable<std::optional<peer::ObjectsRead>> RelayedStore::RequestObjects(
  IpEndpoint aReader,
  peer::ReadObjects aRequest)
{
  const std::string kind = aRequest.mKind;
  const Duration timeout = aRequest.mWait + kRelayTimeout;
  auto reply = co_await mPeers.Call(
    aReader, kAnyIncarnation, std::move(aRequest), timeout);
  const auto* read =
    reply ? std::get_if<peer::ObjectsRead>(&reply.value().mBody) : nullptr;
  if (read && read->mAnswer != FeedAnswer::NotReading) {
    co_return *read;
  }
  MarkUnreliable(kind);
  Log(LogLevel::Info,
      "reader_unavailable",
      { { "kind", kind },
        { "peer", aReader.mAddress },
        { "reason",
          !reply ? reply.error().mDetail
          : read ? std::string("the reader does not read the store at present")
                 : std::string("unexpected answer") } });
  co_return std::nullopt;
}

void RelayedStore::MarkUnreliable(const std::string& aKind)
{
  mDirectReadUntil[aKind] = SteadyNow() + kDirectReadTime;
}

void RelayedStore::SetReading(const std::string& aKind,
                              bool aIsReading,
                              std::string_view aReason)
{
  if (IsReading(aKind) == aIsReading) {
    return;
  }
  if (aIsReading) {
    mReading.insert(aKind);
  } else {
    mReading.erase(aKind);
  }
  Log(LogLevel::Info,
      "feed_source",
      { { "kind", aKind },
        { "source", aIsReading ? "store" : "peer" },
        { "reason", std::string(aReason) } });
}

Awaitable<Result<StoredObject>> RelayedStore::Get(std::string aKind,
                                                  std::string aName)
{
  return mStore.Get(std::move(aKind), std::move(aName));
}

Awaitable<Result<StoreListing>> RelayedStore::List(std::string aKind,
                                                   ReadFreshness aFreshness)
{
  co_await AwaitDiscovery(mStartedAt + mOptions.mListDiscoveryTime);
  const auto reader = ReaderOf(aKind);
  if (reader) {
    peer::ReadObjects request;
    request.mKind = aKind;
    request.mIsListing = true;
    request.mWait = kListingWait;
    auto read = co_await RequestObjects(*reader, std::move(request));
    if (read && read->mAnswer == FeedAnswer::Objects) {
      StoreListing out;
      out.mPosition = read->mPosition;
      for (auto& it : read->mRecords) {
        out.mObjects.push_back(
          { std::move(it.mName), it.mVersion, it.mValue.value_or("") });
      }
      co_return out;
    }
  }
  SetReading(aKind, true, "this instance lists the objects");
  auto listing = co_await mStore.List(std::move(aKind), aFreshness);
  co_return listing;
}

Awaitable<Result<StoreChanges>> RelayedStore::Watch(std::string aKind,
                                                    StorePosition aAfter,
                                                    Duration aTimeout)
{
  co_await AwaitDiscovery(mStartedAt + kWatchDiscoveryTime);
  const auto reader = ReaderOf(aKind);
  if (reader) {
    peer::ReadObjects request;
    request.mKind = aKind;
    request.mAfter = aAfter;
    request.mWait = std::min(aTimeout, kRelayWait);
    SetReading(aKind, false, "the zone has a reader");
    auto read = co_await RequestObjects(*reader, std::move(request));
    if (read && read->mAnswer == FeedAnswer::HistoryGone) {
      co_return Error{ ResultCode::InvalidState,
                       "the reader no longer has this history",
                       aKind };
    }
    if (read) {
      StoreChanges out;
      out.mPosition = read->mPosition;
      for (auto& it : read->mRecords) {
        out.mChanges.push_back(
          { aKind, std::move(it.mName), it.mVersion, std::move(it.mValue) });
      }
      co_return out;
    }
  }
  const bool wasReading = IsReading(aKind);
  const bool isDirect = mDirectReadUntil.contains(aKind);
  SetReading(aKind,
             true,
             isDirect ? "the reader failed"
                      : "this instance is the zone's reader");
  // Limits the wait, so that the reader is tried again soon and the number of
  // calls to the store stays small.
  const Duration maxWait = !wasReading ? kEraCheckWait
                           : isDirect  ? kDirectReadTime
                                       : aTimeout;
  const Duration wait = std::min(aTimeout, maxWait);
  auto changes = co_await mStore.Watch(aKind, aAfter, wait);
  // A store that refuses this instance may still answer the reader. One that no
  // longer has the history is listed directly: the reader may not know yet.
  const bool isHistoryGone =
    !changes && changes.error().mCode == ResultCode::InvalidState;
  // A watch that has replaced this one may have removed the entry.
  const auto direct = mDirectReadUntil.find(aKind);
  if (direct != mDirectReadUntil.end() &&
      ((!changes && !isHistoryGone) ||
       (isDirect && SteadyNow() >= direct->second))) {
    mDirectReadUntil.erase(direct);
  }
  co_return changes;
}

Awaitable<StoreWrite> RelayedStore::Put(std::string aKind,
                                        std::string aName,
                                        std::string aValue,
                                        StoreCondition aCondition)
{
  return mStore.Put(
    std::move(aKind), std::move(aName), std::move(aValue), aCondition);
}

Awaitable<StoreWrite> RelayedStore::Delete(std::string aKind,
                                           std::string aName,
                                           StoreCondition aCondition)
{
  return mStore.Delete(std::move(aKind), std::move(aName), aCondition);
}

Awaitable<Result<std::vector<ListedInstance>>> RelayedStore::ListInstances()
{
  return mStore.ListInstances();
}

} // namespace pollenway
