#pragma once

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

/// Serves callers: look-ups and requests.
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
  /// Call after `FleetState::mInventory` was replaced.
  void OnInventory();
  /// Takes the load summaries that heartbeats brought; call it often.
  void ObserveLoads();
  HttpServer& Server() { return mServer; }
  /// When the last look-up was answered.
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
    /// Ok if it was answered.
    ResultCode mCode = ResultCode::Ok;
    bool mMayHaveRun = false;
    /// Streamed, or the caller has gone.
    bool mFinished = false;
    TextResponse mAnswer{};
  };

  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> HandleLookup(HttpConnection& aConnection);
  Awaitable<void> HandleRequest(HttpConnection& aConnection,
                                DecisionRecord& aRecord);
  /// Refuses the request if its workspace has no token left.
  Awaitable<bool> AdmitByRate(RequestContext& aRequest);
  /// Runs a request at most once under its idempotency key.
  Awaitable<void> RunAtMostOnce(RequestContext& aRequest, std::string aKey);
  /// Runs a request and gives the answer or refusal; nothing if the answer was
  /// streamed or the caller has gone. `aProtected` is started before the first
  /// attempt.
  Awaitable<RunResult> Run(RequestContext& aRequest,
                           HomeService::ActiveRequest* aProtected);
  Awaitable<void> Refuse(RequestContext& aRequest,
                         ResultCode aCode,
                         Duration aRetryAfter);
  Awaitable<AttemptResult> Attempt(RequestContext& aRequest,
                                   TargetName aTarget,
                                   Duration aTimeout);
  /// The caller's address; `aClaimed` is honoured from trusted resolvers.
  IpAddress ClientAddress(const HttpConnection& aConnection,
                          const std::string& aClaimed) const;
  /// Targets at which a suspect must not run.
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
  HttpServer mServer;
  RetryPolicy mRetryPolicy;
  RequestObserver mObserver;
  std::map<ServiceName, RetryBudget> mBudgets;
  std::map<ServiceName, TargetSelector> mSelectors;
  uint64_t mRequests = 0;
  TimePoint mLastLookupAt{};
};

} // namespace pollenway
