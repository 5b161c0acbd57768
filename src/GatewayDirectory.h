#pragma once

#include "GatewaySettings.h"
#include "HttpServer.h"
#include "InstanceTable.h"
#include "PlatformAdapter.h"

#include <functional>
#include <vector>

namespace pollenway {

/// Answers callers that ask which instances to connect to, and the platform
/// that asks whether this instance is ready.
class GatewayDirectory
{
public:
  struct State
  {
    const GatewaySettings& mSettings;
    const PlatformAdapter& mPlatform;
    const InstanceTable& mInstances;
    /// Whether this instance takes new callers.
    std::function<bool()> mIsReady;
  };

  GatewayDirectory(asio::any_io_executor aExecutor, State aState);

  Result<void> Listen();
  void Stop();
  uint16_t LookupPort() const { return mLookupServer.Port(); }
  uint16_t ReadyPort() const { return mReadyServer.Port(); }

  /// The instances for callers of a zone: those of the zone, or else those of
  /// its region, or else all. Only instances that were heard of lately.
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
