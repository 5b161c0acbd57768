#pragma once

#include "BackendDispatcher.h"
#include "HttpServer.h"

namespace pollenway {

/// Serves peers' relays: requests that reached another instance, for targets
/// whose slot owner is this one.
class RelayServer
{
public:
  RelayServer(asio::any_io_executor aExecutor,
              FleetState& aFleet,
              BackendDispatcher& aDispatcher);

  Result<void> Listen();
  HttpServer& Server() { return mServer; }

private:
  Awaitable<void> Handle(HttpConnection& aConnection);

  FleetState& mFleet;
  BackendDispatcher& mDispatcher;
  HttpServer mServer;
};

} // namespace pollenway
