#pragma once

#include "ExchangeForwarder.h"
#include "InstanceInfo.h"

namespace pollenway {

/// Sends requests to the relay port of the slot owner of their target.
class RelayClient
{
public:
  RelayClient(asio::any_io_executor aExecutor, ForwarderOptions aOptions);

  /// One attempt at the target, through its slot owner. If the owner is lost
  /// on the way, bytes count as sent to the backend server.
  Awaitable<AttemptResult> Relay(RequestContext& aRequest,
                                 TargetName aTarget,
                                 InstanceInfo aOwner,
                                 Duration aTimeout);

private:
  HttpClientPool mPool;
  ExchangeForwarder mForwarder;
};

} // namespace pollenway
