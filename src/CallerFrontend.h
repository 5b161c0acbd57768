#pragma once

#include "BackendDispatcher.h"
#include "HttpServer.h"
#include "RelayClient.h"
#include "RetryPolicy.h"
#include "TargetSelector.h"

#include <map>

namespace pollenway {

/// Serves callers: look-ups and requests.
class CallerFrontend
{
public:
  CallerFrontend(asio::any_io_executor aExecutor,
                 FleetState& aFleet,
                 BackendDispatcher& aDispatcher,
                 ForwarderOptions aOptions);

  Result<void> Listen();
  /// Call after `FleetState::mInventory` was replaced.
  void OnInventory();
  HttpServer& Server() { return mServer; }

private:
  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> HandleLookup(HttpConnection& aConnection);
  Awaitable<void> HandleRequest(HttpConnection& aConnection);
  Awaitable<void> Run(RequestContext& aRequest);
  Awaitable<AttemptResult> Attempt(RequestContext& aRequest,
                                   TargetName aTarget,
                                   Duration aTimeout);
  /// The workspace of the caller's key, or why there is none.
  Result<const Workspace*> Authenticate(const Inventory& aInventory,
                                        const std::string& aKey) const;
  std::string NextRequestId();

  FleetState& mFleet;
  BackendDispatcher& mDispatcher;
  RelayClient mRelay;
  HttpServer mServer;
  RetryPolicy mRetryPolicy;
  std::map<ServiceName, RetryBudget> mBudgets;
  std::map<ServiceName, TargetSelector> mSelectors;
  uint64_t mRequests = 0;
};

} // namespace pollenway
