#pragma once

#include "AdminServer.h"
#include "BackendDispatcher.h"
#include "CallerFrontend.h"
#include "FleetState.h"
#include "HomeService.h"
#include "LimitService.h"
#include "MembershipService.h"
#include "PeerTransport.h"
#include "RelayServer.h"
#include "StateDump.h"
#include "SteeringService.h"
#include "StoreClient.h"
#include "TargetMonitor.h"

namespace pollenway {

/// One entry instance: creates the services and connects them to sockets,
/// timers and each other.
class EntryServer
{
public:
  EntryServer(asio::io_context& aIo, EntrySettings aSettings);

  /// Binds all ports and starts the services. Fails if a port can't be bound.
  Result<void> Start();
  /// Starts a graceful shutdown: removes the instance from look-up answers and
  /// from the zone's view, waits for requests in flight, answers those that
  /// remain at the end of the drain timeout, then stops the `io_context`.
  /// Repeated calls have no effect.
  void Stop();

private:
  Awaitable<std::optional<PeerBody>> HandlePeer(PeerMessage aMessage);
  Awaitable<void> LinkLoop();
  Awaitable<void> StopLoop();
  Awaitable<bool> WaitUntil(std::function<bool()> aCondition, TimePoint aLimit);
  void OnDirectory();
  void OnObject(const StoreChange& aChange);
  MembershipService::Callbacks MembershipCallbacks();
  AdminServer::Callbacks AdminCallbacks();

  asio::io_context& mIo;
  FleetState mFleet;
  StoreClient mStore;
  PeerTransport mTransport;
  MembershipService mMembership;
  LimitService mLimits;
  HomeService mHomes;
  SteeringService mSteering;
  BackendDispatcher mDispatcher;
  TargetMonitor mTargets;
  CallerFrontend mFrontend;
  RelayServer mRelayServer;
  StateDump mStateDump;
  AdminServer mAdmin;
  bool mStopping = false;
};

} // namespace pollenway
