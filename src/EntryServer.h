#pragma once

#include "BackendDispatcher.h"
#include "CallerFrontend.h"
#include "FleetState.h"
#include "RelayServer.h"

#include <boost/asio/steady_timer.hpp>

namespace pollenway {

/// One entry instance: connects the core's objects to sockets and timers.
class EntryServer
{
public:
  EntryServer(asio::io_context& aIo, EntrySettings aSettings);

  /// Binds all ports and starts. Fails if a port can't be bound.
  Result<void> Start();
  /// Graceful shutdown: leaves look-ups and the zone's view, lets requests in
  /// flight finish, then lets the `io_context` run out of work.
  void Stop();

private:
  Awaitable<void> SyncLoop();
  Awaitable<void> SyncOnce();
  Awaitable<void> StopLoop();
  Awaitable<Result<TextResponse>> CallStore(http::verb aVerb,
                                            std::string aTarget,
                                            std::string aBody);
  void ApplyConfiguration(const std::string& aText);
  void OnDirectoryChange();

  asio::io_context& mIo;
  FleetState mFleet;
  HttpClientPool mStorePool;
  BackendDispatcher mDispatcher;
  CallerFrontend mFrontend;
  RelayServer mRelayServer;
  asio::steady_timer mSyncTimer;
  bool mStopping = false;
};

} // namespace pollenway
