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

/// Look-up answers of one caller, kept for the time that they state.
class InstanceCache
{
public:
  InstanceCache(HttpClientPool& aPool,
                const std::vector<IpEndpoint>& aBootstrap,
                Random& aRandom,
                LoadStatistics& aStatistics);

  /// The instance to send a request of this service to, chosen by weight;
  /// empty if no look-up succeeds and no earlier answer is known.
  Awaitable<std::optional<tcp::endpoint>> Find(const std::string& aService);
  /// Doesn't choose this instance for two seconds if there is another one.
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
    TimePoint mExpiry;
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
