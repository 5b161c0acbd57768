#include "InstanceRegistry.h"

#include "Backoff.h"
#include "HashOf.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <limits>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// Interval of the checks. An instance that has just become a delegate may lose
/// the role at once, when it learns of others.
constexpr Duration kCheckInterval = 2s;
constexpr Duration kMaxListingInterval = 60s;

InstanceRoster ReadEntries(const StoreListing& aListing)
{
  InstanceRoster out;
  for (const auto& it : aListing.mObjects) {
    const auto value = nlohmann::json::parse(it.mValue, nullptr, false);
    if (!value.is_object()) {
      continue;
    }
    const auto address = value.find("address");
    const auto port = value.find("port");
    const auto zone = value.find("zone");
    if (address == value.end() || !address->is_string() ||
        port == value.end() || !port->is_number_unsigned() ||
        port->get<uint64_t>() > std::numeric_limits<uint16_t>::max() ||
        zone == value.end() || !zone->is_string()) {
      continue;
    }
    out.mEntries.push_back(
      { ZoneName(zone->get<std::string>()),
        { address->get<std::string>(), port->get<uint16_t>() } });
  }
  return out;
}

} // namespace

InstanceRegistry::InstanceRegistry(asio::any_io_executor aExecutor,
                                   ObjectStore& aStore,
                                   Options aOptions,
                                   Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
{
}

void InstanceRegistry::Start()
{
  Spawn(mExecutor, Run());
}

Awaitable<void> InstanceRegistry::Run()
{
  Backoff backoff({ kCheckInterval, kMaxListingInterval },
                  HashOf({ mOptions.mSelf.mAddress }));
  TimePoint nextListingAt{};
  for (;;) {
    asio::steady_timer timer(mExecutor, kCheckInterval);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    CheckRestore();
    const auto position = mCallbacks.mPosition();
    if (!position) {
      mIsWritten = false;
    } else if (!mIsWritten) {
      co_await Write(*position);
    }
    if (!mCallbacks.mNeedsListing()) {
      backoff.Reset();
      nextListingAt = {};
    } else if (SteadyNow() >= nextListingAt) {
      co_await List();
      nextListingAt = SteadyNow() + backoff.Next();
    }
  }
}

void InstanceRegistry::CheckRestore()
{
  const TimePoint restoredAt =
    mCallbacks.mRestoredAt ? mCallbacks.mRestoredAt() : TimePoint{};
  if (restoredAt == mRestoredAt) {
    return;
  }
  mRestoredAt = restoredAt;
  if (mIsWritten) {
    mIsWritten = false;
    Log(LogLevel::Info,
        "registry_entry_outdated",
        { { "reason", "the store was restored" } });
  }
}

Awaitable<void> InstanceRegistry::Write(size_t aPosition)
{
  const std::string name =
    mOptions.mZone.Text() + "-" + std::to_string(aPosition);
  const nlohmann::json value = { { "address", mOptions.mSelf.mAddress },
                                 { "port", mOptions.mSelf.mPort },
                                 { "zone", mOptions.mZone.Text() } };
  // In a new deployment there is no object yet; the condition saves a call to
  // the store.
  const StoreCondition condition =
    mOptions.mIsFirstStart ? StoreCondition::Absent() : StoreCondition();
  mOptions.mIsFirstStart = false;
  auto write =
    co_await mStore.Put(mOptions.mKind, name, value.dump(), condition);
  mIsWritten = write.IsDone();
}

Awaitable<void> InstanceRegistry::List()
{
  auto listing =
    co_await mStore.List(mOptions.mKind, ReadFreshness::MayBeStale);
  if (!listing) {
    Log(LogLevel::Warn,
        "registry_unavailable",
        { { "reason", listing.error().mDetail } });
    co_return;
  }
  const auto roster = ReadEntries(listing.value());
  Log(LogLevel::Info,
      "registry_listed",
      { { "entries", uint64_t(roster.mEntries.size()) } });
  mCallbacks.mOnListing(roster);
}

} // namespace pollenway
