#pragma once

#include "HttpServer.h"
#include "Result.h"
#include "Time.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace pollenway {

class EventLoopLag;
class RemoteZones;
class GatewayFrontend;
class InstanceTable;
class StateFeed;
class TargetReachability;
class TargetTable;
class WorkspaceQuota;
class RoutingTable;

/// Serves a gateway's counters (`/metrics`) and a dump of its state (`/state`).
/// Contains neither keys nor digests.
class GatewayStatus
{
public:
  struct Sources
  {
    const GatewayFrontend& mFrontend;
    const TargetTable& mTargets;
    const InstanceTable& mInstances;
    const RemoteZones& mRemoteZones;
    const WorkspaceQuota& mQuota;
    const TargetReachability& mReachability;
    const EventLoopLag& mLoopLag;
    const StateFeed& mConfigurationFeed;
    const StateFeed& mTargetFeed;
    const StateFeed& mEvacuationFeed;
    /// Returns null before the first routing table.
    std::function<const RoutingTable*()> mTable;
    std::function<bool()> mIsReady;
  };

  GatewayStatus(asio::any_io_executor aExecutor, Sources aSources);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort);
  void SetMaxConnections(size_t aCount) { mServer.SetMaxConnections(aCount); }
  void Stop() { mServer.Abort(); }

  std::string Metrics() const;
  nlohmann::json State(TimePoint aNow) const;

private:
  Awaitable<void> Handle(HttpConnection& aConnection);

  Sources mSources;
  HttpServer mServer;
};

} // namespace pollenway
