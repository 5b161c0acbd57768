#pragma once

#include "ActiveRequests.h"
#include "BackendDispatcher.h"
#include "HomeService.h"
#include "HttpServer.h"
#include "LimitService.h"
#include "MembershipService.h"
#include "RelayClient.h"
#include "RequestObserver.h"
#include "RetryPolicy.h"
#include "SteeringService.h"
#include "TargetSelector.h"

#include <map>

namespace pollenway {

/// Serves the callers' port: look-ups and requests.
class CallerFrontend
{
public:
  CallerFrontend(asio::any_io_executor aExecutor,
                 FleetState& aFleet,
                 MembershipService& aMembership,
                 LimitService& aLimits,
                 HomeService& aHomes,
                 SteeringService& aSteering,
                 BackendDispatcher& aDispatcher,
                 ForwarderOptions aOptions);

  Result<void> Listen();
  /// Updates the target selectors; called after `FleetState::mInventory` was
  /// replaced.
  void OnInventory();
  /// Passes the load summaries received in heartbeats to the target selectors;
  /// called periodically.
  void ObserveLoads();
  HttpServer& Server() { return mServer; }
  ActiveRequests& Requests() { return mActiveRequests; }
  /// Time of the last answered look-up.
  TimePoint LastLookupAt() const { return mLastLookupAt; }

  const RequestObserver& Observer() const { return mObserver; }
  const std::map<ServiceName, RetryBudget>& Budgets() const { return mBudgets; }
  const std::map<ServiceName, TargetSelector>& Selectors() const
  {
    return mSelectors;
  }

private:
  struct RunResult
  {
    /// `Ok` if a target answered.
    ResultCode mCode = ResultCode::Ok;
    bool mMayHaveRun = false;
    /// The answer was streamed or the caller disconnected; `mAnswer` is unused.
    bool mFinished = false;
    TextResponse mAnswer{};
  };

  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> HandleLookup(HttpConnection& aConnection);
  Awaitable<void> HandleRequest(HttpConnection& aConnection,
                                DecisionRecord& aRecord);
  /// Acquires a token of the workspace's rate. Refuses the request and returns
  /// false if none is available.
  Awaitable<bool> AdmitByRate(RequestContext& aRequest);
  /// Runs a request at most once for its idempotency key.
  Awaitable<void> RunAtMostOnce(RequestContext& aRequest, std::string aKey);
  /// Runs a request with retries and returns the answer or the refusal code. No
  /// answer is left to send if `RunResult::mFinished` is set. `aProtected`, if
  /// not null, is started before the first attempt.
  Awaitable<RunResult> Run(RequestContext& aRequest,
                           HomeService::ActiveRequest* aProtected);
  Awaitable<void> Refuse(RequestContext& aRequest,
                         ResultCode aCode,
                         Duration aRetryAfter);
  Awaitable<AttemptResult> Attempt(RequestContext& aRequest,
                                   TargetName aTarget,
                                   Duration aTimeout);
  /// Returns the caller's address. `aClaimed`, if not empty, is used if the
  /// peer is a trusted resolver.
  IpAddress ClientAddress(const HttpConnection& aConnection,
                          const std::string& aClaimed) const;
  /// Returns the targets at which a crash suspect must not run: those with
  /// another slot owner than the one that rendezvous hashing selects for the
  /// request.
  std::vector<TargetName> TargetsOfOtherOwners(
    const RequestContext& aRequest) const;
  std::string NextRequestId();

  FleetState& mFleet;
  MembershipService& mMembership;
  LimitService& mLimits;
  HomeService& mHomes;
  SteeringService& mSteering;
  BackendDispatcher& mDispatcher;
  RelayClient mRelay;
  ActiveRequests mActiveRequests;
  HttpServer mServer;
  RetryPolicy mRetryPolicy;
  RequestObserver mObserver;
  std::map<ServiceName, RetryBudget> mBudgets;
  std::map<ServiceName, TargetSelector> mSelectors;
  uint64_t mRequests = 0;
  TimePoint mLastLookupAt{};
};

} // namespace pollenway
