#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"
#include "LoadStatistics.h"
#include "Random.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// Cache of one caller's look-up answers. Entries expire after the TTL that the
/// answer states.
class InstanceCache
{
public:
  InstanceCache(HttpClientPool& aPool,
                const std::vector<IpEndpoint>& aBootstrap,
                Random& aRandom,
                LoadStatistics& aStatistics);

  /// Returns an instance for a request to this service, chosen at random by
  /// weight; empty if the look-up fails and no earlier answer is cached.
  Awaitable<std::optional<tcp::endpoint>> Find(const std::string& aService);
  /// Prefers other instances to this one for two seconds.
  void Avoid(const tcp::endpoint& aEndpoint);

private:
  struct Instance
  {
    tcp::endpoint mEndpoint;
    double mWeight = 1;
  };

  struct Entry
  {
    std::vector<Instance> mInstances;
    TimePoint mExpiresAt;
    bool mRefreshing = false;
  };

  Awaitable<void> Refresh(const std::string& aService);
  bool Accept(const std::string& aText, Entry& aEntry);
  std::optional<tcp::endpoint> Choose(const Entry& aEntry);
  std::optional<tcp::endpoint> ChooseAmong(const Entry& aEntry,
                                           bool aStandbys,
                                           bool aAvoided);

  HttpClientPool& mPool;
  const std::vector<IpEndpoint>& mBootstrap;
  Random& mRandom;
  LoadStatistics& mStatistics;
  std::map<std::string, Entry> mEntries;
  std::map<tcp::endpoint, TimePoint> mAvoided;
};

} // namespace pollenway
