#include "GatewayFrontend.h"

#include "ForwardedRequest.h"
#include "HashOf.h"
#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "Logger.h"
#include "SteadyTime.h"
#include "TargetExchange.h"

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// A connection attempt to a target takes a round trip, at most 110 ms between
/// regions. After a longer wait the target is considered gone.
constexpr Duration kConnectTimeout = 400ms;
/// Maximum idle time of the connections that repeatable and unrepeatable
/// requests use. Targets close idle connections after some seconds, and some
/// drop them sooner without notice. A request that must not be repeated uses
/// only a recently used connection: a new connection costs a round trip, a
/// reset one costs the request.
constexpr Duration kMaxIdleRepeatable = 8s;
constexpr Duration kMaxIdleUnrepeatable = 200ms;
/// Time after the deadline for which an answer is still accepted. A target
/// works until the deadline that it was given; its answer then takes half a
/// round trip between regions and the time to transfer the body.
constexpr Duration kAnswerGrace = 150ms;
/// Maximum number of idle connections to one target: more than the slots of a
/// target.
constexpr size_t kMaxIdlePerTarget = 8;
/// Maximum number of retries after connections that failed before anything was
/// sent. Such attempts reach no target and don't count towards the route's
/// maximum number of attempts.
constexpr unsigned kMaxConnectFailures = 3;
/// Maximum number of other instances through which a request is sent.
constexpr size_t kMaxPeers = 3;
/// Retry hint for callers whose request found no free slot: about the time
/// within which a slot becomes free.
constexpr Duration kNoSlotRetryAfter = 250ms;
/// Maximum retry hint for callers whose targets are all quiet. Another
/// incarnation of a target may take requests before the quiet time ends.
constexpr Duration kMaxQuietRetryAfter = 5s;
/// Maximum random addition to that hint, so that the callers do not all return
/// at the same moment.
constexpr Duration kMaxRetrySpread = 1s;
/// Fraction of the shared retry budget that is used. Each instance counts its
/// own part, and changes of the number of instances are seen with a delay.
constexpr double kUsedRetryFraction = 0.6;
/// Time that an attempt needs, as a multiple of its route's latency target, so
/// that an answer is likely, and its maximum. While a stopping instance serves
/// callers, 2.2 s are left with a grace of 6 s.
constexpr int kAttemptLatencyTargets = 2;
constexpr Duration kMaxAttemptTime = 2s;
/// Request bodies may use the memory divided by this number.
constexpr uint64_t kBodyMemoryDivisor = 8;
/// One body at a time may use this part of the memory beside the others: the
/// largest one that the operators allow (64 MiB) on their first machines.
constexpr double kSingleBodyFraction = 0.375;
/// Long headers of requests may use the memory divided by this number, at each
/// of the ports for callers and relayed requests.
constexpr uint64_t kHeaderMemoryDivisor = 32;
/// The first parts of answers may use the memory divided by this number.
constexpr uint64_t kAnswerMemoryDivisor = 8;
/// Size of one read of an answer that is passed on while it arrives.
constexpr size_t kAnswerReadBytes = 16 * 1024;
/// Bodies of at least this size are expensive to transfer between zones.
constexpr size_t kLargeBodyBytes = 16 * 1024;

/// Idle connections to targets may use the sockets divided by this number; the
/// remaining ones are for callers and requests in flight.
constexpr unsigned kIdleSocketDivisor = 3;

HttpClientPoolOptions PoolOptions(unsigned aSockets)
{
  HttpClientPoolOptions out;
  out.mConnectTimeout = kConnectTimeout;
  out.mMaxIdleTime = kMaxIdleRepeatable;
  out.mMaxIdlePerEndpoint = kMaxIdlePerTarget;
  out.mMaxIdleInTotal = aSockets / kIdleSocketDivisor;
  return out;
}

/// Returns the value of a cookie; empty if there is no cookie of this name.
std::string_view CookieValue(std::string_view aCookies, std::string_view aName)
{
  while (!aCookies.empty()) {
    const size_t n = std::min(aCookies.find(';'), aCookies.size());
    std::string_view pair = aCookies.substr(0, n);
    aCookies.remove_prefix(std::min(n + 1, aCookies.size()));
    while (pair.starts_with(' ')) {
      pair.remove_prefix(1);
    }
    if (pair.size() > aName.size() && pair.starts_with(aName) &&
        pair[aName.size()] == '=') {
      return pair.substr(aName.size() + 1);
    }
  }
  return {};
}

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view HostName(std::string_view aHost)
{
  return aHost.substr(0, std::min(aHost.find(':'), aHost.size()));
}

/// Returns the maximum idle time of the connection for the next attempt at an
/// address. A connection on which the request was already sent may deliver the
/// answer to that attempt once more, which carries the same id.
Duration MaxIdleTime(const ForwardedRequest& aRequest,
                     const IpEndpoint& aAddress)
{
  const auto& tried = aRequest.mTriedAddresses;
  if (std::find(tried.begin(), tried.end(), aAddress) != tried.end()) {
    return Duration::zero();
  }
  return aRequest.mRule->mExecution == RouteExecution::Idempotent
           ? kMaxIdleRepeatable
           : kMaxIdleUnrepeatable;
}

/// Returns true if this process ends before a target is likely to answer.
bool EndsTooSoon(const ForwardedRequest& aRequest)
{
  const Duration needed = std::min<Duration>(
    kMaxAttemptTime, aRequest.mRule->mLatencyTarget * kAttemptLatencyTargets);
  return aRequest.mDeadline < aRequest.mAnswerDeadline &&
         aRequest.mDeadline - SteadyNow() < needed;
}

/// Returns true for a status from which a caller may conclude that its request
/// did not run.
bool ImpliesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

GatewayFrontend::GatewayFrontend(asio::any_io_executor aExecutor, State aState)
  : mExecutor(aExecutor)
  , mState(aState)
  , mSocketShares(aState.mSettings.mMaxSockets)
  , mServer(aExecutor,
            HttpLimits(),
            [this](HttpConnection& aConnection) {
              return Handle(aConnection, false);
            })
  , mPool(aExecutor, PoolOptions(aState.mSettings.mMaxSockets))
  , mRelayListener(
      aExecutor,
      { .mMaxSockets = aState.mSettings.mMaxSockets,
        .mMemoryBytes = aState.mSettings.mMemoryBytes },
      [this](HttpConnection& aConnection) { return Handle(aConnection, true); })
  , mRelay(aExecutor,
           { .mPort = aState.mSettings.mRelayPort,
             .mMaxSockets = aState.mSettings.mMaxSockets,
             .mSeed = HashOf({ aState.mSettings.mName.Text() }) },
           aState.mRelay)
  , mBodyMemory(
      { .mSharedBytes = aState.mSettings.mMemoryBytes / kBodyMemoryDivisor,
        .mMaxSingleBytes = uint64_t(kSingleBodyFraction *
                                    double(aState.mSettings.mMemoryBytes)) })
  , mAnswerMemory(aState.mSettings.mMemoryBytes / kAnswerMemoryDivisor)
  , mRanking(aState.mSettings.mZone, aState.mSettings.mRegion)
  , mAnnouncements(HashOf({ aState.mSettings.mName.Text(), "announcements" }) ^
                   uint64_t(SteadyNow().time_since_epoch().count()))
  , mRandom(HashOf({ aState.mSettings.mName.Text(), "frontend" }))
{
  for (auto* it : { &mServer, &mRelayListener.Server() }) {
    it->SetHeaderMemory(aState.mSettings.mMemoryBytes / kHeaderMemoryDivisor);
  }
  mServer.SetMaxConnections(mSocketShares.mCallers);
  mRelayListener.Server().SetMaxConnections(mSocketShares.mRelayed);
  mAnnouncements.OnChange([this](const TargetAnnouncements::Change& aChange) {
    OnAnnouncement(aChange);
  });
}

Result<void> GatewayFrontend::Listen()
{
  const auto& endpoint = mState.mSettings.mCallerEndpoint;
  BOOST_OUTCOME_TRYV(mServer.Listen(endpoint.mAddress, endpoint.mPort));
  if (mState.mSettings.mRelayPort == 0) {
    return outcome::success();
  }
  return mRelayListener.Server().Listen(mState.mSettings.mAddress,
                                        mState.mSettings.mRelayPort);
}

void GatewayFrontend::SetTable(std::shared_ptr<const RoutingTable> aTable)
{
  mTable = std::move(aTable);
  const auto& limits = mTable->Limits();
  const HttpLimits httpLimits{ .mHeaderBytes = limits.mHeaderBytes,
                               .mHeaderTimeout = limits.mHeaderTimeout,
                               .mKeepAliveTimeout = limits.mIdleTimeout,
                               .mIdleTimeout = limits.mHeaderTimeout };
  mServer.SetLimits(httpLimits);
  mRelayListener.SetLimits(httpLimits);
}

void GatewayFrontend::DropIdleConnections()
{
  mPool.CloseExpired();
  mRelay.DropIdleConnections();
  MakeRoomForSocket();
}

size_t GatewayFrontend::CountSockets() const
{
  return mServer.Connections() + mRelayListener.Server().Connections() +
         mForwarding + mPool.IdleConnections() + mRelay.IdleConnections();
}

bool GatewayFrontend::MakeRoomForSocket()
{
  while (CountSockets() >= mSocketShares.mForwarding) {
    if (!mPool.CloseOldestIdle() && !mRelay.CloseOldestIdle()) {
      return false;
    }
  }
  return true;
}

void GatewayFrontend::DropConnections(const RegisteredTarget& aTarget)
{
  ErrorCode ec;
  const auto address = asio::ip::make_address(aTarget.mAddress, ec);
  if (!ec) {
    mPool.CloseIdle({ address, aTarget.mPort });
  }
}

Awaitable<void> GatewayFrontend::ProbeTarget(RegisteredTarget aTarget)
{
  ErrorCode ec;
  const tcp::endpoint endpoint(asio::ip::make_address(aTarget.mAddress, ec),
                               aTarget.mPort);
  HttpClientConnection connection(mExecutor);
  const auto connected = co_await connection.Connect(endpoint, kConnectTimeout);
  if (connected) {
    mState.mReachability.OnConnected(aTarget.mName, SteadyNow());
  } else {
    mState.mReachability.OnConnectFailed(aTarget.mName, SteadyNow());
  }
}

void GatewayFrontend::OnAnnouncement(const TargetAnnouncements::Change& aChange)
{
  Log(LogLevel::Info,
      aChange.mIsClosed ? "target_closed" : "target_opened",
      { { "target", aChange.mTarget.Text() },
        { "started_ms", aChange.mStartedAtMs },
        { "reason", Name(aChange.mReason) },
        { "for_ms", int64_t(ToSeconds(aChange.mRemaining) * 1000) } });
  const auto* record = mState.mTargets.FindRecord(aChange.mTarget);
  if (record && aChange.mIsClosed && aChange.mReason == ClosedReason::Leaving) {
    DropConnections(*record);
  }
}

void GatewayFrontend::OnTargetRecord(const RegisteredTarget& aTarget)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  mAnnouncements.OnRecord(
    aTarget,
    SteadyNow(),
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void GatewayFrontend::ExpireAnnouncements(bool aIsStoreLost)
{
  mAnnouncements.Expire(
    SteadyNow(), aIsStoreLost, [this](const TargetName& aName) {
      return mState.mTargets.FindRecord(aName);
    });
}

double GatewayFrontend::RetrySlack() const
{
  const double totalSlack =
    mState.mSettings.mBounds.mRetrySlack * kUsedRetryFraction;
  return std::max(1.0,
                  totalSlack / double(std::max<size_t>(1, mInstanceCount)));
}

void GatewayFrontend::SetInstanceCount(size_t aCount)
{
  mInstanceCount = aCount;
  for (auto& [service, budget] : mBudgets) {
    budget.SetMaxTokens(RetrySlack());
  }
}

RetryBudget& GatewayFrontend::BudgetOf(const ServiceName& aService)
{
  const auto it = mBudgets.find(aService);
  if (it != mBudgets.end()) {
    return it->second;
  }
  const auto& bounds = mState.mSettings.mBounds;
  // The budget starts with one token: until the other instances are known, this
  // one may be one of many.
  return mBudgets
    .emplace(aService,
             RetryBudget({ .mRatio = bounds.mRetryRatio * kUsedRetryFraction,
                           .mInitial = 1,
                           .mMaxTokens = RetrySlack() }))
    .first->second;
}

Awaitable<void> GatewayFrontend::Handle(HttpConnection& aConnection,
                                        bool aIsRelayed)
{
  std::optional<RelayListener::Slot> slot;
  if (aIsRelayed) {
    slot.emplace(mRelayListener);
  }
  auto request = std::make_shared<ForwardedRequest>();
  request->mIsRelayed = aIsRelayed;
  // The request has waited for the event loop, at most about as long as the
  // loop's timers.
  const TimePoint now = SteadyNow();
  request->mReceivedAt = now - mState.mLoopLag(now);
  request->mHeader = aConnection.Header();
  request->mId =
    FieldText(request->mHeader, mState.mPlatform.Fields().mRequestId);
  mActive.insert(request);
  co_await Process(aConnection, request);
  mActive.erase(request);
}

void GatewayFrontend::LimitRequests(TimePoint aDeadline)
{
  mLatestDeadline = std::min(mLatestDeadline, aDeadline);
  for (const auto& it : mActive) {
    it->mDeadline = std::min(it->mDeadline, aDeadline);
  }
}

void GatewayFrontend::EndRequests()
{
  mEndingRequests = true;
  LimitRequests(SteadyNow());
  for (const auto& it : mActive) {
    if (it->mExchange) {
      it->mExchange->Cancel();
    }
  }
  mServer.CancelBodies();
  mRelayListener.Server().CancelBodies();
}

size_t GatewayFrontend::BusyConnections() const
{
  return mServer.BusyConnections() + mRelayListener.Server().BusyConnections();
}

void GatewayFrontend::EndConnectionsAfterAnswers()
{
  mServer.EndConnectionsAfterAnswers();
  mRelayListener.Server().EndConnectionsAfterAnswers();
}

void GatewayFrontend::StopGracefully()
{
  mServer.StopGracefully();
  mRelayListener.Server().StopGracefully();
}

void GatewayFrontend::LeaveDirectPath(TimePoint aSentBefore)
{
  for (const auto& it : mActive) {
    const bool isRepeatable =
      it->mRule && it->mRule->mExecution == RouteExecution::Idempotent;
    if (isRepeatable && it->mExchange && it->mExchange->IsDirect() &&
        it->mStage == RequestStage::AtTarget && it->mSentAt < aSentBefore &&
        !mState.mReachability.HasAnsweredSince(it->mTried.back(),
                                               aSentBefore)) {
      it->mPathLost = true;
      it->mExchange->Cancel();
    }
  }
}

void GatewayFrontend::LogCutRequests()
{
  const TimePoint now = SteadyNow();
  for (const auto& it : mActive) {
    mLog.OnCut(*it, now);
  }
}

Awaitable<void> GatewayFrontend::Process(
  HttpConnection& aConnection,
  std::shared_ptr<ForwardedRequest> aRequest)
{
  auto admitted = co_await Admit(aConnection, *aRequest);
  if (mEndingRequests) {
    co_await Refuse(aConnection,
                    *aRequest,
                    ResultCode::Stopping,
                    "the instance stops before the request is complete");
    co_return;
  }
  if (!admitted) {
    co_await Refuse(
      aConnection, *aRequest, admitted.error().mCode, admitted.error().mDetail);
    co_return;
  }
  if (!MakeRoomForSocket()) {
    co_await Refuse(aConnection,
                    *aRequest,
                    ResultCode::QueueFull,
                    "no socket is free for a connection to a target");
    co_return;
  }
  aConnection.WatchDisconnect([aRequest] {
    aRequest->mCallerGone = true;
    if (aRequest->mExchange) {
      aRequest->mExchange->Cancel();
    }
  });
  ++mForwarding;
  co_await Forward(aConnection, aRequest);
  --mForwarding;
}

Result<void> GatewayFrontend::CheckRoute(const RequestHeader& aHeader,
                                         ForwardedRequest& aRequest) const
{
  aRequest.mTable = mTable;
  if (!mTable) {
    return Error{ ResultCode::NoConfiguration,
                  "this instance has no configuration yet",
                  {} };
  }
  aRequest.mRule = mTable->Match(HostName(View(aHeader[http::field::host])),
                                 View(aHeader.target()));
  if (!aRequest.mRule) {
    return Error{ ResultCode::NoRoute, "no route matches the request", {} };
  }
  if (aRequest.mRule->mAccess == RouteAccess::Keyed) {
    BOOST_OUTCOME_TRY(workspace, mTable->Authenticate(BearerKey(aHeader)));
    aRequest.mWorkspace = workspace;
  }
  const auto& fields = mState.mPlatform.Fields();
  Duration timeout = aRequest.mRule->mTimeout;
  if (const auto left =
        mState.mPlatform.ReadDeadline(View(aHeader[fields.mDeadline]))) {
    timeout = std::min(timeout, *left);
    aRequest.mCallerDeadline = aRequest.mReceivedAt + *left;
  }
  aRequest.mMaxAttempts = aRequest.mRule->mMaxAttempts;
  aRequest.mAnswerDeadline = aRequest.mReceivedAt + timeout;
  aRequest.mDeadline = std::min(aRequest.mAnswerDeadline, mLatestDeadline);
  return outcome::success();
}

Result<void> GatewayFrontend::CheckRelayed(ForwardedRequest& aRequest) const
{
  if (!mState.mAcceptsRelayed()) {
    return Error{ ResultCode::PeerUnavailable,
                  "this instance stops or reaches no targets itself",
                  {} };
  }
  if (mRelayListener.IsFull()) {
    return Error{ ResultCode::QueueFull,
                  "too many relayed requests are in flight",
                  {} };
  }
  return mRelayListener.ReadFields(aRequest);
}

uint64_t GatewayFrontend::MaxBodyBytes(const ForwardedRequest& aRequest) const
{
  if (aRequest.mIsRelayed) {
    // The first instance has applied the limit of its configuration.
    return mRelayListener.MaxBodyBytes();
  }
  return mTable ? mTable->Limits().mBodyBytes : CallerLimits().mBodyBytes;
}

Awaitable<Result<void>> GatewayFrontend::ReadBody(HttpConnection& aConnection,
                                                  ForwardedRequest& aRequest)
{
  auto& memory = aRequest.mIsRelayed ? mRelayListener.Bodies() : mBodyMemory;
  aConnection.SetBodyDeadline(aRequest.mAnswerDeadline);
  auto body =
    co_await aConnection.ReadBody(MaxBodyBytes(aRequest), [&](uint64_t aBytes) {
      return memory.Resize(aRequest.mBodyMemory, aBytes);
    });
  if (!body) {
    co_return body.error();
  }
  aRequest.mBody = std::make_shared<const std::string>(std::move(body.value()));
  co_return outcome::success();
}

Awaitable<Result<void>> GatewayFrontend::Admit(HttpConnection& aConnection,
                                               ForwardedRequest& aRequest)
{
  auto checked = CheckRoute(aRequest.mHeader, aRequest);
  if (checked && aRequest.mIsRelayed) {
    checked = CheckRelayed(aRequest);
  }
  if (!checked) {
    const auto limits = mTable ? mTable->Limits() : CallerLimits();
    aConnection.SetBodyDeadline(SteadyNow() + limits.mHeaderTimeout);
    co_await aConnection.SkipBody(MaxBodyBytes(aRequest));
    co_return checked.error();
  }
  auto body = co_await ReadBody(aConnection, aRequest);
  if (!body) {
    co_return body.error();
  }
  aRequest.mFingerprint = RequestFingerprint::Of(
    aRequest.mWorkspace ? aRequest.mWorkspace->mName : WorkspaceName(),
    View(aRequest.mHeader.method_string()),
    View(aRequest.mHeader.target()),
    *aRequest.mBody);
  if (mState.mCrashes.IsRefused(aRequest.mFingerprint)) {
    co_return Error{ ResultCode::Quarantined,
                     "the request has broken off several targets",
                     {} };
  }
  if (!aRequest.mIsRelayed) {
    auto counted = Count(aRequest);
    if (!counted) {
      co_return counted.error();
    }
  }
  const auto cookie = CookieValue(View(aRequest.mHeader[http::field::cookie]),
                                  mState.mPlatform.Fields().mObjectCookie);
  const std::string_view object = cookie.empty() ? aRequest.mId : cookie;
  aRequest.mObject = HashOf({ aRequest.mService.Text(), object });
  co_return outcome::success();
}

Result<void> GatewayFrontend::Count(ForwardedRequest& aRequest)
{
  if (aRequest.mWorkspace &&
      !mState.mQuota.Admit(aRequest.mWorkspace->mName, SteadyNow())) {
    return Error{ ResultCode::RateExceeded,
                  "the workspace is above its rate",
                  {} };
  }
  aRequest.mService = mSplitter.Next(*aRequest.mRule);
  mState.mDemand.OnRequest(aRequest.mService);
  BudgetOf(aRequest.mService).OnRequest();
  return outcome::success();
}

TargetRanking::Request GatewayFrontend::RankingRequest(
  const ForwardedRequest& aRequest) const
{
  const bool isLarge = aRequest.mBody->size() >= kLargeBodyBytes;
  std::span<const RegionName> workspaceRegions;
  if (aRequest.mWorkspace) {
    workspaceRegions = aRequest.mWorkspace->mAllowedRegions;
  }
  return {
    .mService = aRequest.mService,
    .mObject = aRequest.mObject,
    .mRouteRegions = aRequest.mRule->mAllowedRegions,
    .mWorkspaceRegions = workspaceRegions,
    .mTried = aRequest.mTried,
    .mHasLargeBody = isLarge,
    .mAnnouncements = &mAnnouncements,
  };
}

Duration GatewayFrontend::RetryAfterNoTarget(const ForwardedRequest& aRequest)
{
  const TimePoint now = SteadyNow();
  const auto until =
    aRequest.mTable && !aRequest.mService.Text().empty()
      ? mRanking.QuietUntil(mState.mTargets, RankingRequest(aRequest), now)
      : std::nullopt;
  if (!until) {
    return kNoSlotRetryAfter;
  }
  const Duration time =
    std::clamp(*until - now, kNoSlotRetryAfter, kMaxQuietRetryAfter);
  return time + FromSeconds(mRandom.Uniform() * ToSeconds(kMaxRetrySpread));
}

TargetRanking::Choice GatewayFrontend::ChooseTarget(ForwardedRequest& aRequest)
{
  const TimePoint now = SteadyNow();
  const auto* service = aRequest.mTable->FindService(aRequest.mService);
  const double coldRate = service ? service->mColdRate : 0;
  const auto request = RankingRequest(aRequest);
  return mRanking.Choose(mState.mTargets,
                         mState.mPlan.SharesOf(aRequest.mService),
                         request,
                         now,
                         [&](const TargetState& aTarget) {
                           return mState.mCold.TryAdmit(aTarget, coldRate, now);
                         });
}

bool GatewayFrontend::BeginWrite(HttpConnection& aConnection,
                                 ForwardedRequest& aRequest)
{
  // The event that reports a close may wait behind other work.
  if (aConnection.HasPeerClosed()) {
    aRequest.mCallerGone = true;
  }
  // The deadline may have been moved forward while a connection was awaited.
  const TimePoint now = SteadyNow();
  if (aRequest.mCallerGone || now >= aRequest.mDeadline) {
    return false;
  }
  aRequest.mWrite = { .mAge = now - aRequest.mReceivedAt,
                      .mLoopLag = mState.mLoopLag(now) };
  return true;
}

void GatewayFrontend::EndAbandoned(const ForwardedRequest& aRequest)
{
  if (!aRequest.mWrite && aRequest.mWorkspace && !aRequest.mIsRelayed) {
    mState.mQuota.Refund(aRequest.mWorkspace->mName);
  }
  LogEnd(
    aRequest, ResultCode::BackendConnectionLost, "the caller disconnected");
}

std::shared_ptr<const SharedRequest> GatewayFrontend::MakeTargetRequest(
  const ForwardedRequest& aRequest,
  const TargetState& aTarget) const
{
  const auto& fields = mState.mPlatform.Fields();
  auto out = std::make_shared<SharedRequest>(aRequest.mHeader);
  RemoveHopFields(*out);
  RemovePrivateFields(*out);
  out->version(11);
  out->erase(http::field::content_length);
  out->erase(fields.mWorkspace);
  if (aRequest.mWorkspace) {
    out->set(fields.mWorkspace, aRequest.mWorkspace->mName.Text());
  }
  out->set(fields.mTargetName, aTarget.Record().mName.Text());
  out->set(fields.mDeadline,
           mState.mPlatform.WriteDeadline(aRequest.mDeadline - SteadyNow()));
  out->SetBody(aRequest.mBody);
  if (!aRequest.mBody->empty() || out->method() == http::verb::post ||
      out->method() == http::verb::put) {
    out->content_length(aRequest.mBody->size());
  }
  return out;
}

void GatewayFrontend::RecordAttempt(const ForwardedRequest& aRequest,
                                    const TargetAnswer& aAnswer,
                                    TargetState& aTarget,
                                    Duration aLatency,
                                    double aLoadWhenSent)
{
  const TimePoint now = SteadyNow();
  mLog.OnAttempt(aRequest,
                 aTarget,
                 { .mFailure = aAnswer.mFailure,
                   .mBytesSent = aAnswer.mBytesSent,
                   .mLoadWhenSent = aLoadWhenSent,
                   .mLatency = aLatency,
                   .mDetail = aAnswer.mDetail },
                 now);
  if (!aAnswer.mFailure || *aAnswer.mFailure == AttemptFailure::Shed) {
    const auto load = mState.mPlatform.ReadLoad(
      View(aAnswer.mHeader[mState.mPlatform.Fields().mLoad]));
    if (load) {
      aTarget.OnLoad(*load, now);
    }
  }
  if (aAnswer.mFailure == AttemptFailure::ConnectionLost &&
      aAnswer.mBytesSent && mState.mReachability.ReachesTargets(now)) {
    mState.mCrashes.OnConnectionLost(aRequest.mFingerprint, now);
  }
  if (!aAnswer.mFailure) {
    mState.mCrashes.OnAnswer(aRequest.mFingerprint);
    aTarget.OnAnswer(aLatency, aLoadWhenSent, now);
  } else if (*aAnswer.mFailure == AttemptFailure::Shed) {
    aTarget.OnShed(now);
  } else if (*aAnswer.mFailure != AttemptFailure::Timeout &&
             *aAnswer.mFailure != AttemptFailure::TargetClosed) {
    aTarget.OnFailure(now);
  }
}

bool GatewayFrontend::NeedsPeer(const ForwardedRequest& aRequest)
{
  if (aRequest.mIsRelayed) {
    return false;
  }
  if (mRelay.IsNeeded()) {
    return true;
  }
  // Targets that are gone for all instances cost one hop at most.
  const TimePoint now = SteadyNow();
  return mState.mReachability.MayBeCutOff(now) &&
         aRequest.mTriedPeers.empty() &&
         !mRanking.Pick(mState.mTargets,
                        mState.mPlan.SharesOf(aRequest.mService),
                        RankingRequest(aRequest),
                        now,
                        [](const TargetState&) { return true; });
}

Awaitable<void> GatewayFrontend::Forward(
  HttpConnection& aConnection,
  std::shared_ptr<ForwardedRequest> aRequest)
{
  aRequest->mStage = RequestStage::AtTarget;
  bool isDone = false;
  while (!isDone) {
    if (EndsTooSoon(*aRequest)) {
      co_await Refuse(aConnection,
                      *aRequest,
                      aRequest->mMayHaveRun ? ResultCode::BackendConnectionLost
                                            : ResultCode::Stopping,
                      "the instance stops before a target is likely to answer");
      co_return;
    }
    if (SteadyNow() >= aRequest->mDeadline) {
      TargetAnswer answer;
      answer.mFailure = AttemptFailure::Timeout;
      const auto code = DecideRetry(*aRequest, answer);
      co_await Refuse(aConnection,
                      *aRequest,
                      code.value_or(ResultCode::DeadlineBeforeStart),
                      "ended before it was sent");
      co_return;
    }
    if (NeedsPeer(*aRequest)) {
      isDone = co_await ForwardToPeer(aConnection, *aRequest);
    } else {
      isDone = co_await ForwardToTarget(aConnection, *aRequest);
    }
    if (!isDone && aRequest->mIsRelayed && mRelay.IsNeeded()) {
      // The first instance can choose another one that reaches the targets.
      co_await Refuse(aConnection,
                      *aRequest,
                      aRequest->mMayHaveRun ? ResultCode::BackendConnectionLost
                                            : ResultCode::PeerUnavailable,
                      "this instance no longer reaches the targets");
      isDone = true;
    }
  }
}

Awaitable<bool> GatewayFrontend::ForwardToTarget(HttpConnection& aConnection,
                                                 ForwardedRequest& aRequest)
{
  const bool isRepeatable =
    aRequest.mRule->mExecution == RouteExecution::Idempotent;
  const auto [target, reason] = ChooseTarget(aRequest);
  if (!target) {
    co_await Refuse(aConnection,
                    aRequest,
                    aRequest.mMayHaveRun ? ResultCode::BackendConnectionLost
                                         : ResultCode::NoTarget,
                    "no target may get the request now");
    co_return true;
  }
  const IpEndpoint address{ target->Record().mAddress, target->Record().mPort };
  const Duration maxIdleTime = MaxIdleTime(aRequest, address);
  aRequest.mTried.push_back(target->Record().mName);
  aRequest.mTriedAddresses.push_back(address);
  aRequest.mTargetRegion = target->Region();
  aRequest.mSelectionReason = reason;
  mLog.OnSelected(aRequest);
  TargetExchange exchange(
    mPool, mState.mPlatform, mState.mReachability, mAnnouncements, target);
  exchange.LimitMemory(mAnswerMemory);
  aRequest.mExchange = &exchange;
  const TimePoint sentAt = SteadyNow();
  aRequest.mSentAt = sentAt;
  const double load = target->EstimatedLoad(sentAt);
  const TargetExchange::RequestSource source = [&] {
    return BeginWrite(aConnection, aRequest)
             ? MakeTargetRequest(aRequest, *target)
             : nullptr;
  };
  auto answer = co_await exchange.Run(
    source, maxIdleTime, aRequest.mDeadline, aRequest.mDeadline + kAnswerGrace);
  aRequest.mExchange = nullptr;
  if (aRequest.mCallerGone) {
    EndAbandoned(aRequest);
    co_return true;
  }
  if (!answer.mFailure &&
      (answer.mHeader.result() == http::status::misdirected_request ||
       !answer.mHeader[mState.mPlatform.Fields().mNotRun].empty())) {
    answer.mFailure = AttemptFailure::Shed;
  }
  RecordAttempt(aRequest, answer, *target, SteadyNow() - sentAt, load);
  if (std::exchange(aRequest.mPathLost, false) &&
      answer.mFailure == AttemptFailure::Timeout && !mEndingRequests) {
    answer.mFailure = answer.mBytesSent ? AttemptFailure::ConnectionLost
                                        : AttemptFailure::ConnectFailed;
  }
  if (answer.mFailure == AttemptFailure::TargetClosed) {
    // Nothing was sent, so this is no attempt.
    co_return false;
  }
  const bool isServerError =
    !answer.mFailure && answer.mHeader.result_int() >= 500;
  if (!answer.mFailure && !(isServerError && isRepeatable)) {
    ++aRequest.mAttempts;
    co_await Deliver(aConnection, aRequest, exchange, std::move(answer));
    co_return true;
  }
  if (answer.mFailure == AttemptFailure::ConnectFailed &&
      ++aRequest.mConnectFailures <= kMaxConnectFailures &&
      SteadyNow() < aRequest.mDeadline) {
    co_return false;
  }
  ++aRequest.mAttempts;
  const auto code = DecideRetry(aRequest, answer);
  if (!code) {
    co_return false;
  }
  if (isServerError) {
    co_await Deliver(aConnection, aRequest, exchange, std::move(answer));
  } else {
    co_await Refuse(aConnection, aRequest, *code, answer.mDetail);
  }
  co_return true;
}

Awaitable<bool> GatewayFrontend::ForwardToPeer(HttpConnection& aConnection,
                                               ForwardedRequest& aRequest)
{
  const auto refusal = aRequest.mMayHaveRun ? ResultCode::BackendConnectionLost
                                            : ResultCode::NoTarget;
  const auto peer = mRelay.Choose(aRequest, SteadyNow());
  if (!peer || aRequest.mTriedPeers.size() >= kMaxPeers) {
    co_await Refuse(aConnection,
                    aRequest,
                    refusal,
                    "no target can be reached directly, and no other instance "
                    "can forward the request");
    co_return true;
  }
  aRequest.mTriedPeers.push_back(*peer);
  RequestRelay::Attempt attempt(mRelay, *peer);
  TargetExchange exchange = attempt.MakeExchange(mState.mPlatform);
  exchange.LimitMemory(mAnswerMemory);
  aRequest.mExchange = &exchange;
  const TimePoint sentAt = SteadyNow();
  const bool isRepeatable =
    aRequest.mRule->mExecution == RouteExecution::Idempotent;
  const TargetExchange::RequestSource source = [&] {
    return BeginWrite(aConnection, aRequest)
             ? mRelay.MakeRequest(
                 aRequest,
                 mState.mPlatform,
                 std::max(1u, aRequest.mMaxAttempts - aRequest.mAttempts))
             : nullptr;
  };
  auto answer = co_await exchange.Run(source,
                                      isRepeatable ? kMaxIdleRepeatable
                                                   : kMaxIdleUnrepeatable,
                                      aRequest.mDeadline,
                                      aRequest.mDeadline + kAnswerGrace);
  aRequest.mExchange = nullptr;
  if (aRequest.mCallerGone) {
    EndAbandoned(aRequest);
    co_return true;
  }
  const unsigned attempts = RequestRelay::ReadRefusal(answer);
  mRelay.OnResult(*peer, answer, SteadyNow());
  mLog.OnRelayed(aRequest, *peer, answer, SteadyNow() - sentAt, SteadyNow());
  if (!answer.mFailure) {
    aRequest.mAttempts += std::max(1u, attempts);
    if (const auto leaving = RequestRelay::ReadLeaving(answer.mHeader)) {
      mAnnouncements.OnLeaving(*leaving, sentAt);
    }
    co_await Deliver(aConnection, aRequest, exchange, std::move(answer));
    co_return true;
  }
  const bool reachedTarget = answer.mBytesSent || attempts > 0;
  if (!reachedTarget && *answer.mFailure != AttemptFailure::Timeout &&
      SteadyNow() < aRequest.mDeadline) {
    co_return false;
  }
  aRequest.mAttempts += reachedTarget ? std::max(1u, attempts) : 0;
  const auto code = DecideRetry(aRequest, answer);
  if (!code) {
    co_return false;
  }
  co_await Refuse(aConnection, aRequest, *code, answer.mDetail);
  co_return true;
}

std::optional<ResultCode> GatewayFrontend::DecideRetry(
  ForwardedRequest& aRequest,
  const TargetAnswer& aAnswer)
{
  const RetryPolicy policy({ .mMaxAttempts = aRequest.mMaxAttempts });
  const AttemptReport report{
    .mExecution = aRequest.mRule->mExecution,
    .mFailure = aAnswer.mFailure.value_or(AttemptFailure::AnswerCut),
    .mBytesSent = aAnswer.mBytesSent,
    .mEarlierMayHaveRun = aRequest.mMayHaveRun,
    .mAttempts = aRequest.mAttempts,
    .mDeadline = aRequest.mDeadline,
  };
  const auto decision =
    policy.Decide(report, BudgetOf(aRequest.mService), SteadyNow());
  aRequest.mMayHaveRun = decision.mMayHaveRun;
  if (decision.mRetry && !mState.mCrashes.IsRefused(aRequest.mFingerprint)) {
    return std::nullopt;
  }
  const auto code =
    decision.mRetry ? ResultCode::BackendConnectionLost : decision.mCode;
  if (code == ResultCode::DeadlineBeforeStart &&
      aRequest.mDeadline < aRequest.mAnswerDeadline) {
    // The caller may have more time than this instance.
    return ResultCode::Stopping;
  }
  if (code == ResultCode::DeadlineBeforeStart &&
      aRequest.mDeadline < aRequest.mCallerDeadline) {
    // The route's time is over, but the caller may repeat the request.
    return ResultCode::NoTarget;
  }
  return code;
}

Awaitable<void> GatewayFrontend::Deliver(HttpConnection& aConnection,
                                         ForwardedRequest& aRequest,
                                         TargetExchange& aExchange,
                                         TargetAnswer aAnswer)
{
  aRequest.mStage = RequestStage::Answering;
  const unsigned status = aAnswer.mHeader.result_int();
  if (aRequest.mRule->mExecution != RouteExecution::Idempotent &&
      ImpliesNotRun(status)) {
    // The target did not state that the request has not run, so the caller must
    // not receive a status that implies it.
    co_await Refuse(aConnection,
                    aRequest,
                    ResultCode::BackendConnectionLost,
                    "the target failed with status " + std::to_string(status));
    co_return;
  }
  RemoveHopFields(aAnswer.mHeader);
  RemoveInternalFields(aAnswer.mHeader);
  if (aRequest.mIsRelayed) {
    aAnswer.mHeader.set(header::kRelayResult, "answer");
    aAnswer.mHeader.set(header::kRelayAttempts,
                        std::to_string(aRequest.mAttempts));
    const auto& target = aRequest.mTried.back();
    if (const auto startedAt = mAnnouncements.LeavingStart(target)) {
      RequestRelay::WriteLeaving(aAnswer.mHeader, target, *startedAt);
    }
  }
  aAnswer.mHeader.version(11);
  if (!aAnswer.mHasMore) {
    TextResponse answer(std::move(aAnswer.mHeader), std::move(aAnswer.mBody));
    const ErrorCode ec = co_await aConnection.Write(std::move(answer));
    LogEnd(aRequest, ResultCode::Ok, ec ? "the caller disconnected" : "");
    co_return;
  }
  ErrorCode ec = co_await aConnection.WriteHeader(std::move(aAnswer.mHeader));
  if (!ec) {
    ec = co_await aConnection.WriteSome(aAnswer.mBody.data(),
                                        aAnswer.mBody.size());
  }
  std::string().swap(aAnswer.mBody);
  aAnswer.mBodyMemory = {};
  std::vector<char> buf(kAnswerReadBytes);
  while (!ec) {
    auto more = co_await aExchange.ReadMore(
      buf.data(), buf.size(), aRequest.mAnswerDeadline + kAnswerGrace);
    if (!more) {
      // Abort the connection, so that the caller does not take the partial body
      // for a complete one.
      aConnection.Abort();
      LogEnd(aRequest, ResultCode::AnswerIncomplete, more.error().mDetail);
      co_return;
    }
    if (more.value() == 0) {
      break;
    }
    ec = co_await aConnection.WriteSome(buf.data(), more.value());
  }
  if (!ec) {
    ec = co_await aConnection.FinishAnswer();
  }
  LogEnd(aRequest, ResultCode::Ok, ec ? "the caller disconnected" : "");
}

Awaitable<void> GatewayFrontend::Refuse(HttpConnection& aConnection,
                                        ForwardedRequest& aRequest,
                                        ResultCode aCode,
                                        std::string aDetail)
{
  aRequest.mStage = RequestStage::Answering;
  auto answer = MakeRefusal(aCode, aDetail);
  if (!aRequest.mId.empty()) {
    answer.set(mState.mPlatform.Fields().mRequestId, aRequest.mId);
  }
  if (aRequest.mIsRelayed) {
    answer.set(header::kRelayResult, "refusal");
    answer.set(header::kRelayAttempts, std::to_string(aRequest.mAttempts));
  }
  const bool neverRan = OutcomeOf(aCode) == Outcome::NotRun;
  // The service of an own caller's request is chosen when it is counted.
  const bool wasCounted =
    !aRequest.mIsRelayed && !aRequest.mService.Text().empty();
  if (neverRan && wasCounted && aRequest.mWorkspace) {
    mState.mQuota.Refund(aRequest.mWorkspace->mName);
  }
  Duration retryAfter{};
  if (aCode == ResultCode::RateExceeded) {
    retryAfter =
      mState.mQuota.TimeUntilAdmitted(aRequest.mWorkspace->mName) + 10ms;
  } else if (answer.result() == http::status::service_unavailable) {
    retryAfter = RetryAfterNoTarget(aRequest);
  }
  if (retryAfter > Duration::zero()) {
    answer.set(http::field::retry_after,
               mState.mPlatform.WriteRetryAfter(retryAfter));
  }
  LogEnd(aRequest, aCode, aDetail);
  co_await aConnection.Write(std::move(answer));
}

void GatewayFrontend::LogEnd(const ForwardedRequest& aRequest,
                             ResultCode aCode,
                             std::string_view aDetail)
{
  const std::string inputs =
    aCode == ResultCode::RateExceeded && aRequest.mWorkspace
      ? mState.mQuota.Explain(aRequest.mWorkspace->mName)
      : std::string();
  mLog.OnEnd(aRequest, aCode, aDetail, inputs, SteadyNow());
}

} // namespace pollenway
