#include "InstanceCache.h"

#include "SteadyTime.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

constexpr auto kLookupTimeout = std::chrono::seconds(2);
constexpr auto kAvoidTime = std::chrono::seconds(2);
constexpr size_t kMaxLookupAnswerBytes = 64 * 1024;

} // namespace

InstanceCache::InstanceCache(HttpClientPool& aPool,
                             const std::vector<IpEndpoint>& aBootstrap,
                             Random& aRandom,
                             LoadStatistics& aStatistics)
  : mPool(aPool)
  , mBootstrap(aBootstrap)
  , mRandom(aRandom)
  , mStatistics(aStatistics)
{
}

void InstanceCache::Avoid(const tcp::endpoint& aEndpoint)
{
  mAvoided[aEndpoint] = SteadyNow() + kAvoidTime;
}

Awaitable<std::optional<tcp::endpoint>> InstanceCache::Find(
  const std::string& aService)
{
  // References into a std::map stay valid when entries are added.
  Entry& entry = mEntries[aService];
  const bool expired = SteadyNow() >= entry.mExpiresAt;
  if (entry.mInstances.empty() || (expired && !entry.mRefreshing)) {
    entry.mRefreshing = true;
    co_await Refresh(aService);
    entry.mRefreshing = false;
  }
  co_return Choose(entry);
}

Awaitable<void> InstanceCache::Refresh(const std::string& aService)
{
  const size_t first = mRandom.Below(mBootstrap.size());
  for (size_t i = 0; i < mBootstrap.size(); ++i) {
    const auto& address = mBootstrap[(first + i) % mBootstrap.size()];
    ErrorCode ec;
    const tcp::endpoint endpoint(asio::ip::make_address(address.mAddress, ec),
                                 address.mPort);
    TextRequest request(
      http::verb::get, "/.pollenway/lookup?service=" + aService, 11);
    request.set(http::field::host, address.mAddress);
    const TimePoint start = SteadyNow();
    auto answer = co_await mPool.Exchange(
      endpoint, std::move(request), kLookupTimeout, kMaxLookupAnswerBytes);
    const bool accepted = answer && answer.value().result_int() == 200 &&
                          Accept(answer.value().body(), mEntries[aService]);
    mStatistics.RecordLookup(accepted, SteadyNow() - start);
    if (accepted) {
      co_return;
    }
  }
}

bool InstanceCache::Accept(const std::string& aText, Entry& aEntry)
{
  const auto document = nlohmann::json::parse(aText, nullptr, false);
  if (!document.is_object() || !document.contains("instances")) {
    return false;
  }
  std::vector<Instance> instances;
  for (const auto& it : document["instances"]) {
    ErrorCode ec;
    Instance instance;
    instance.mEndpoint =
      tcp::endpoint(asio::ip::make_address(it.value("address", ""), ec),
                    it.value("port", uint16_t(0)));
    instance.mWeight = it.value("weight", 1.0);
    if (!ec && instance.mWeight >= 0) {
      instances.push_back(instance);
    }
  }
  if (instances.empty()) {
    return false;
  }
  aEntry.mInstances = std::move(instances);
  aEntry.mExpiresAt = SteadyNow() + std::chrono::milliseconds(
                                      document.value("ttl_ms", uint64_t(0)));
  return true;
}

std::optional<tcp::endpoint> InstanceCache::Choose(const Entry& aEntry)
{
  // Standbys (weight 0) are preferred to instances that have just failed.
  auto chosen = ChooseAmong(aEntry, false, false);
  if (!chosen) {
    chosen = ChooseAmong(aEntry, true, false);
  }
  return chosen ? chosen : ChooseAmong(aEntry, false, true);
}

std::optional<tcp::endpoint> InstanceCache::ChooseAmong(const Entry& aEntry,
                                                        bool aStandbys,
                                                        bool aAvoided)
{
  const TimePoint now = SteadyNow();
  double sum = 0;
  std::optional<tcp::endpoint> chosen;
  for (const auto& it : aEntry.mInstances) {
    const auto avoided = mAvoided.find(it.mEndpoint);
    const bool isAvoided = avoided != mAvoided.end() && avoided->second > now;
    if ((it.mWeight == 0) != aStandbys || (isAvoided && !aAvoided)) {
      continue;
    }
    const double weight = aStandbys ? 1 : it.mWeight;
    sum += weight;
    // Weighted reservoir sampling: each instance replaces the choice with a
    // probability equal to its share of the total weight so far.
    if (mRandom.Uniform() * sum < weight) {
      chosen = it.mEndpoint;
    }
  }
  return chosen;
}

} // namespace pollenway
