#pragma once

#include "BackendDispatcher.h"
#include "CallerFrontend.h"
#include "FleetState.h"
#include "HomeService.h"
#include "LimitService.h"
#include "MembershipService.h"
#include "PeerTransport.h"
#include "RelayServer.h"
#include "SteeringService.h"
#include "StoreClient.h"
#include "TargetMonitor.h"

namespace pollenway {

/// One entry instance: connects the core's objects to sockets and timers.
class EntryServer
{
public:
  EntryServer(asio::io_context& aIo, EntrySettings aSettings);

  /// Binds all ports and starts. Fails if a port can't be bound.
  Result<void> Start();
  /// Graceful shutdown: leaves look-ups and the zone's view, lets requests in
  /// flight finish, then stops the `io_context`.
  void Stop();

private:
  Awaitable<std::optional<PeerBody>> HandlePeer(PeerMessage aMessage);
  Awaitable<void> LinkLoop();
  Awaitable<void> StopLoop();
  Awaitable<bool> WaitUntil(std::function<bool()> aCondition, TimePoint aLimit);
  void OnDirectory();
  void OnObject(const StoreChange& aChange);
  MembershipService::Callbacks MembershipCallbacks();

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
  bool mStopping = false;
};

} // namespace pollenway
