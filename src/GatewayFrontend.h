#pragma once

#include "BodyMemory.h"
#include "ColdAdmission.h"
#include "CrashLedger.h"
#include "GatewaySettings.h"
#include "HttpClientPool.h"
#include "HttpServer.h"
#include "PlacementPlan.h"
#include "PlatformAdapter.h"
#include "RelayListener.h"
#include "RequestLog.h"
#include "RequestRelay.h"
#include "RetryBudget.h"
#include "RoutingTable.h"
#include "ServiceDemand.h"
#include "SocketShares.h"
#include "TargetAnnouncements.h"
#include "TargetRanking.h"
#include "TargetReachability.h"
#include "TargetTable.h"
#include "WeightedSplitter.h"
#include "WorkspaceQuota.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>

namespace pollenway {

class TargetExchange;
struct ForwardedRequest;

/// Serves callers: checks each request against the routing table and the
/// workspace's rate limit, and forwards it to a target.
class GatewayFrontend
{
public:
  /// State by which requests are decided; the owner keeps it up to date.
  struct State
  {
    const GatewaySettings& mSettings;
    const PlatformAdapter& mPlatform;
    TargetTable& mTargets;
    WorkspaceQuota& mQuota;
    ColdAdmission& mCold;
    CrashLedger& mCrashes;
    ServiceDemand& mDemand;
    const PlacementPlan& mPlan;
    TargetReachability& mReachability;
    RequestRelay::Sources mRelay = {};
    /// Returns true if this instance serves requests that others relay.
    std::function<bool()> mAcceptsRelayed = [] { return true; };
    /// Returns how late the event loop runs.
    std::function<Duration(TimePoint)> mLoopLag = [](TimePoint) {
      return Duration::zero();
    };
  };

  GatewayFrontend(asio::any_io_executor aExecutor, State aState);

  /// Listens for callers and for the requests that other instances relay.
  Result<void> Listen();
  /// Sets the routing table for requests that arrive from now on.
  void SetTable(std::shared_ptr<const RoutingTable> aTable);
  /// Sets the number of instances that share the retry budget.
  void SetInstanceCount(size_t aCount);
  /// Closes the idle connections to a removed target.
  void DropConnections(const RegisteredTarget& aTarget);
  /// Called with each record of a target that comes into use.
  void OnTargetRecord(const RegisteredTarget& aTarget);
  /// Called when a target has no record in use any more.
  void OnTargetRemoved(const TargetName& aTarget)
  {
    mAnnouncements.OnRecordRemoved(aTarget);
  }
  /// Ends the announcements of targets that no longer count.
  void ExpireAnnouncements(bool aIsStoreLost);
  const TargetAnnouncements& Announcements() const { return mAnnouncements; }
  /// Closes connections that have been idle for too long.
  void DropIdleConnections();
  /// Cancels the attempts of repeatable requests at targets that began before
  /// `aSentBefore`, so that they go through another instance. Those at targets
  /// that have answered since then stay: their open connections work.
  void LeaveDirectPath(TimePoint aSentBefore);

  /// Connects to a target and closes the connection, to learn whether it can be
  /// reached.
  Awaitable<void> ProbeTarget(RegisteredTarget aTarget);

  /// Limits the time of attempts at targets that start from now on to
  /// `aDeadline`, because the process stops. Attempts in progress and answers
  /// that have begun keep their time.
  void LimitRequests(TimePoint aDeadline);
  /// Ends all attempts and all waits for bodies, so that each request gets its
  /// final answer now. Call again until no connection is busy, for requests
  /// whose bytes were being processed.
  void EndRequests();
  size_t CountActiveRequests() const { return mActive.size(); }
  /// Returns the number of connections of callers and other instances with a
  /// request in flight.
  size_t BusyConnections() const;
  /// Closes each connection after its next answer.
  void EndConnectionsAfterAnswers();
  /// Stops accepting, closes idle connections and lets requests in flight
  /// finish.
  void StopGracefully();
  /// Logs the requests that have no final answer yet. Called when the process
  /// ends.
  void LogCutRequests();

  const HttpServer& Server() const { return mServer; }
  const RelayListener& Relayed() const { return mRelayListener; }
  const RequestRelay& Relay() const { return mRelay; }
  RequestLog& Requests() { return mLog; }
  const RequestLog& Requests() const { return mLog; }

private:
  Awaitable<void> Handle(HttpConnection& aConnection, bool aIsRelayed);
  Awaitable<void> Process(HttpConnection& aConnection,
                          std::shared_ptr<ForwardedRequest> aRequest);
  /// Reads the body and counts the request against the workspace's rate limit.
  /// An error is the refusal to send to the caller.
  Awaitable<Result<void>> Admit(HttpConnection& aConnection,
                                ForwardedRequest& aRequest);
  uint64_t MaxBodyBytes(const ForwardedRequest& aRequest) const;
  Awaitable<Result<void>> ReadBody(HttpConnection& aConnection,
                                   ForwardedRequest& aRequest);
  Result<void> CheckRoute(const RequestHeader& aHeader,
                          ForwardedRequest& aRequest) const;
  /// Refuses a relayed request that this instance can't serve now.
  Result<void> CheckRelayed(ForwardedRequest& aRequest) const;
  /// Counts the request of an own caller and chooses its service.
  Result<void> Count(ForwardedRequest& aRequest);
  Awaitable<void> Forward(HttpConnection& aConnection,
                          std::shared_ptr<ForwardedRequest> aRequest);
  /// Returns true if a connection to a target may be opened. Closes idle ones
  /// if that makes room.
  bool MakeRoomForSocket();
  /// Returns the number of sockets in use for callers, relayed requests and
  /// targets.
  size_t CountSockets() const;
  /// Returns true if the next attempt must go through another instance: the
  /// own path is lost, or it may be and no target may get the request.
  bool NeedsPeer(const ForwardedRequest& aRequest);
  /// Makes one attempt at a target. Returns false if another attempt follows.
  Awaitable<bool> ForwardToTarget(HttpConnection& aConnection,
                                  ForwardedRequest& aRequest);
  /// Makes one attempt through another instance. Returns false if another
  /// attempt follows.
  Awaitable<bool> ForwardToPeer(HttpConnection& aConnection,
                                ForwardedRequest& aRequest);
  /// Returns the code of the final refusal after a failed attempt; empty if the
  /// request is retried.
  std::optional<ResultCode> DecideRetry(ForwardedRequest& aRequest,
                                        const struct TargetAnswer& aAnswer);
  TargetRanking::Request RankingRequest(const ForwardedRequest& aRequest) const;
  TargetRanking::Choice ChooseTarget(ForwardedRequest& aRequest);
  void OnAnnouncement(const TargetAnnouncements::Change& aChange);
  /// Returns the time after which a request that found no target or no free
  /// slot may succeed.
  Duration RetryAfterNoTarget(const ForwardedRequest& aRequest);
  /// Called directly before a request is written to a target or another
  /// instance. Returns false if its caller no longer waits for the answer or
  /// its time is over.
  bool BeginWrite(HttpConnection& aConnection, ForwardedRequest& aRequest);
  /// Ends a request whose caller has disconnected.
  void EndAbandoned(const ForwardedRequest& aRequest);
  std::shared_ptr<const SharedRequest> MakeTargetRequest(
    const ForwardedRequest& aRequest,
    const TargetState& aTarget) const;
  void RecordAttempt(const ForwardedRequest& aRequest,
                     const struct TargetAnswer& aAnswer,
                     TargetState& aTarget,
                     Duration aLatency,
                     double aLoadWhenSent);
  Awaitable<void> Deliver(HttpConnection& aConnection,
                          ForwardedRequest& aRequest,
                          TargetExchange& aExchange,
                          struct TargetAnswer aAnswer);
  Awaitable<void> Refuse(HttpConnection& aConnection,
                         ForwardedRequest& aRequest,
                         ResultCode aCode,
                         std::string aDetail);
  void LogEnd(const ForwardedRequest& aRequest,
              ResultCode aCode,
              std::string_view aDetail);
  double RetrySlack() const;
  RetryBudget& BudgetOf(const ServiceName& aService);

  asio::any_io_executor mExecutor;
  State mState;
  SocketShares mSocketShares;
  /// Requests that use a connection to a target or to another instance.
  size_t mForwarding = 0;
  HttpServer mServer;
  HttpClientPool mPool;
  RelayListener mRelayListener;
  RequestRelay mRelay;
  BodyMemory mBodyMemory;
  ByteBudget mAnswerMemory;
  RequestLog mLog;
  TargetRanking mRanking;
  TargetAnnouncements mAnnouncements;
  /// For the time at which callers return.
  Random mRandom;
  WeightedSplitter mSplitter;
  std::map<ServiceName, RetryBudget> mBudgets;
  /// The deadline of all requests of a stopping process.
  TimePoint mLatestDeadline = TimePoint::max();
  bool mEndingRequests = false;
  /// The requests that have no final answer yet.
  std::unordered_set<std::shared_ptr<ForwardedRequest>> mActive;
  std::shared_ptr<const RoutingTable> mTable;
  size_t mInstanceCount = 1;
};

} // namespace pollenway
