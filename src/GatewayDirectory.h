#pragma once

#include "GatewaySettings.h"
#include "HttpServer.h"
#include "InstanceTable.h"
#include "PlatformAdapter.h"
#include "RemoteZones.h"

#include <functional>
#include <vector>

namespace pollenway {

/// Serves look-ups, by which callers learn which instances to connect to, and
/// the platform's readiness checks.
class GatewayDirectory
{
public:
  struct State
  {
    const GatewaySettings& mSettings;
    const PlatformAdapter& mPlatform;
    const InstanceTable& mInstances;
    const RemoteZones& mRemoteZones;
    /// Returns true if this instance accepts new callers.
    std::function<bool()> mIsReady;
    /// Returns true if it reaches targets.
    std::function<bool()> mReachesTargets;
  };

  GatewayDirectory(asio::any_io_executor aExecutor, State aState);

  Result<void> Listen();
  void Stop();
  uint16_t LookupPort() const { return mLookupServer.Port(); }
  uint16_t ReadyPort() const { return mReadyServer.Port(); }

  /// Returns the instances for callers of a zone, as `ChooseListedInstances`
  /// does. Contains only ready instances that are live, and only some of those
  /// of other zones.
  std::vector<IpEndpoint> InstancesFor(const LookupQuery& aQuery,
                                       TimePoint aNow) const;

private:
  Awaitable<void> HandleLookup(HttpConnection& aConnection);
  Awaitable<void> HandleReady(HttpConnection& aConnection);

  State mState;
  HttpServer mLookupServer;
  HttpServer mReadyServer;
};

} // namespace pollenway
