#pragma once

#include "ExchangeForwarder.h"
#include "InstanceInfo.h"

namespace pollenway {

/// Sends requests to the relay port of their target's slot owner.
class RelayClient
{
public:
  RelayClient(asio::any_io_executor aExecutor, ForwarderOptions aOptions);

  /// Makes one attempt at the target through its slot owner. If the connection
  /// to the owner is lost, bytes count as sent to the backend server.
  Awaitable<AttemptResult> Relay(RequestContext& aRequest,
                                 TargetName aTarget,
                                 InstanceInfo aOwner,
                                 Duration aTimeout);

private:
  HttpClientPool mPool;
  ExchangeForwarder mForwarder;
};

} // namespace pollenway
