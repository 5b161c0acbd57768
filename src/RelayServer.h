#pragma once

#include "ActiveRequests.h"
#include "BackendDispatcher.h"
#include "HttpServer.h"

namespace pollenway {

/// Serves requests relayed by peers: another instance received them, and this
/// one is the slot owner of their target.
class RelayServer
{
public:
  RelayServer(asio::any_io_executor aExecutor,
              FleetState& aFleet,
              BackendDispatcher& aDispatcher);

  Result<void> Listen();
  HttpServer& Server() { return mServer; }
  ActiveRequests& Requests() { return mActiveRequests; }

private:
  Awaitable<void> Handle(HttpConnection& aConnection);

  FleetState& mFleet;
  BackendDispatcher& mDispatcher;
  ActiveRequests mActiveRequests;
  HttpServer mServer;
};

} // namespace pollenway
