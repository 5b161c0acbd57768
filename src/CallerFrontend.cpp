#include "CallerFrontend.h"

#include "HashOf.h"
#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "Logger.h"
#include "NetworkPrefix.h"
#include "RendezvousHash.h"
#include "SteadyTime.h"
#include "StoredAnswer.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

const beast::string_view kLookupPath = "/.pollenway/lookup";

/// If a retry is possible, an attempt's timeout is the remaining time divided
/// by this, so that a silent connection leaves time for the retry.
constexpr int kAttemptTimeoutDivisor = 2;

constexpr auto kRetryAfter = std::chrono::seconds(1);
constexpr auto kMinRetryAfter = std::chrono::milliseconds(1);

SelectableTarget Selectable(const Inventory& aInventory,
                            const Target& aTarget,
                            const RegionName& aOwnRegion)
{
  SelectableTarget out;
  out.mName = aTarget.mName;
  const Place* place = aInventory.FindPlace(aTarget.mPlace);
  out.mZone = place->mZone;
  out.mRegion = aInventory.RegionOfZone(place->mZone)->mName;
  out.mLatencyMs = aInventory.LatencyMs(aOwnRegion, out.mRegion);
  out.mSlots = aTarget.mSlots;
  out.mState = std::max(aTarget.mState, place->mState);
  return out;
}

RequestEnd EndOf(const AttemptResult& aResult, bool aCallerGone)
{
  if (aCallerGone) {
    return RequestEnd::Cancelled;
  }
  if (aResult.mRefusal != ResultCode::Ok ||
      aResult.mFailure == AttemptFailure::Shed) {
    return RequestEnd::Shed;
  }
  if (aResult.mFailure == AttemptFailure::ConnectFailed) {
    return RequestEnd::ConnectFailed;
  }
  return aResult.mFailure ? RequestEnd::Failed : RequestEnd::Ok;
}

/// Returns the value of a query parameter, or an empty string. Names and values
/// are plain tokens and are not percent-decoded.
std::string QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const size_t start = aTarget.find('?');
  if (start == std::string_view::npos) {
    return {};
  }
  std::string_view query = aTarget.substr(start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.size() > aName.size() && pair[aName.size()] == '=' &&
        pair.substr(0, aName.size()) == aName) {
      return std::string(pair.substr(aName.size() + 1));
    }
  }
  return {};
}

} // namespace

CallerFrontend::CallerFrontend(asio::any_io_executor aExecutor,
                               FleetState& aFleet,
                               MembershipService& aMembership,
                               LimitService& aLimits,
                               HomeService& aHomes,
                               SteeringService& aSteering,
                               BackendDispatcher& aDispatcher,
                               ForwarderOptions aOptions)
  : mFleet(aFleet)
  , mMembership(aMembership)
  , mLimits(aLimits)
  , mHomes(aHomes)
  , mSteering(aSteering)
  , mDispatcher(aDispatcher)
  , mRelay(aExecutor, aOptions)
  , mServer(aExecutor, {}, [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

Result<void> CallerFrontend::Listen()
{
  return mServer.Listen(mFleet.mSettings.mAddress,
                        mFleet.mSettings.mCallerPort);
}

void CallerFrontend::OnInventory()
{
  const auto& inventory = *mFleet.mInventory;
  const Region* region = inventory.RegionOfZone(mFleet.mSettings.mZone);
  const RegionName ownRegion = region ? region->mName : RegionName();
  for (const auto& service : inventory.mServices) {
    std::vector<SelectableTarget> targets;
    for (const auto& it : inventory.mTargets) {
      if (it.mService == service.mName) {
        targets.push_back(Selectable(inventory, it, ownRegion));
      }
    }
    auto selector = mSelectors.find(service.mName);
    if (selector == mSelectors.end()) {
      selector = mSelectors
                   .emplace(service.mName,
                            TargetSelector(mFleet.mSettings.mZone, ownRegion))
                   .first;
    }
    selector->second.SetTargets(targets, SteadyNow());
  }
}

Awaitable<void> CallerFrontend::Handle(HttpConnection& aConnection)
{
  const auto target = aConnection.Header().target();
  const bool isLookup = target.substr(0, target.find('?')) == kLookupPath;
  if (isLookup) {
    co_await HandleLookup(aConnection);
  } else {
    DecisionRecord record = RequestObserver::Start(SteadyNow());
    co_await HandleRequest(aConnection, record);
    mObserver.End(std::move(record), SteadyNow());
  }
}

IpAddress CallerFrontend::ClientAddress(const HttpConnection& aConnection,
                                        const std::string& aClaimed) const
{
  const std::string peer = aConnection.Peer().address().to_string();
  if (!aClaimed.empty()) {
    const auto resolver = NetworkPrefix::ParseAddress(peer);
    auto claimed = IpAddress::Parse(aClaimed);
    for (const auto& it : mFleet.mSettings.mTrustedResolvers) {
      if (resolver && claimed && it.Contains(*resolver)) {
        return claimed.value();
      }
    }
  }
  auto address = IpAddress::Parse(peer);
  return address ? address.value() : IpAddress();
}

Awaitable<void> CallerFrontend::HandleLookup(HttpConnection& aConnection)
{
  const auto inventory = mFleet.mInventory;
  if (!inventory) {
    TextResponse refusal =
      MakeRefusal(ResultCode::NoConfiguration, "no configuration yet");
    co_await aConnection.Write(std::move(refusal));
    co_return;
  }
  const std::string target(aConnection.Header().target());
  LookupRequest request;
  request.mService = ServiceName(QueryParameter(target, "service"));
  request.mClient =
    ClientAddress(aConnection, QueryParameter(target, "client"));
  auto workspace = mMembership.Authenticate(BearerKey(aConnection.Header()));
  if (workspace) {
    request.mWorkspace = std::move(workspace.value());
  }
  const LookupDecision decision = mSteering.Decide(request);
  if (decision.mCode != ResultCode::Ok) {
    TextResponse refusal = MakeRefusal(
      decision.mCode, std::string(Name(decision.mCode)), decision.mRetryAfter);
    co_await aConnection.Write(std::move(refusal));
    co_return;
  }
  const std::string tag = '"' + decision.mVersion + '"';
  if (aConnection.Header()[http::field::if_none_match] == tag) {
    mLastLookupAt = SteadyNow();
    TextResponse unchanged(http::status::not_modified, 11);
    unchanged.set(http::field::etag, tag);
    co_await aConnection.Write(std::move(unchanged));
    co_return;
  }
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& it : decision.mInstances) {
    instances.push_back({ { "address", it.mAddress },
                          { "port", it.mPort },
                          { "weight", it.mWeight } });
  }
  const auto ttl =
    std::chrono::duration_cast<std::chrono::milliseconds>(decision.mTtl);
  const nlohmann::json body = { { "version", decision.mVersion },
                                { "ttl_ms", ttl.count() },
                                { "region", decision.mRegion.Text() },
                                { "zone", decision.mZone.Text() },
                                { "instances", instances } };
  mLastLookupAt = SteadyNow();
  TextResponse answer = MakeJsonAnswer(http::status::ok, body.dump() + "\n");
  answer.set(http::field::etag, tag);
  co_await aConnection.Write(std::move(answer));
}

std::string CallerFrontend::NextRequestId()
{
  return mFleet.mSelf.mName.Text() + "-" +
         std::to_string(mFleet.mSelf.mIncarnation) + "-" +
         std::to_string(++mRequests);
}

Awaitable<void> CallerFrontend::HandleRequest(HttpConnection& aConnection,
                                              DecisionRecord& aRecord)
{
  aRecord.mId = NextRequestId();
  const auto inventory = mFleet.mInventory;
  RequestHeader head = aConnection.Header();
  const std::string method(head.method_string());
  const std::string path(head.target());
  Inventory::RouteMatch match;
  Error error{ ResultCode::NoConfiguration, "no configuration yet", {} };
  const Workspace* workspace = nullptr;
  if (inventory) {
    error = { ResultCode::NoRoute, "no route for this method and path", {} };
    match = inventory->MatchRoute(method, path);
  }
  if (match.mRoute && match.mRoute->mAccess == RouteAccess::Keyed) {
    auto found = mMembership.Authenticate(BearerKey(head));
    if (found) {
      workspace = inventory->FindWorkspace(found.value());
    } else {
      error = found.error();
      match.mRoute = nullptr;
    }
  }
  if (!match.mRoute) {
    aRecord.mCode = error.mCode;
    TextResponse refusal = MakeRefusal(error.mCode, error.mDetail);
    refusal.set(header::kRequestId, aRecord.mId);
    co_await aConnection.Write(std::move(refusal));
    co_return;
  }
  const Service& service = *match.mService;
  const uint64_t deadlineMs = NumberField(
    head,
    header::kDeadlineMs,
    std::chrono::duration_cast<std::chrono::milliseconds>(service.mTimeout)
      .count());
  RequestContext request{ .mSource = aConnection };
  request.mId = aRecord.mId;
  request.mRecord = &aRecord;
  request.mService = aRecord.mService = service.mName;
  aRecord.mRoute = match.mRoute->mPathPrefix;
  request.mExecution = match.mRoute->mExecution;
  request.mWorkspace = workspace ? workspace->mName : WorkspaceName();
  aRecord.mWorkspace = request.mWorkspace;
  request.mWeight = workspace ? workspace->mWeight : 1;
  request.mDeadline =
    SteadyNow() +
    std::min<Duration>(std::chrono::milliseconds(deadlineMs), service.mTimeout);
  request.mIdleTimeout = service.mIdleTimeout;
  const ActiveRequests::Entry entry(mActiveRequests, request);
  aConnection.SetIdleTimeout(service.mIdleTimeout);
  const bool canContinue = co_await BufferSmallBody(request);
  if (!canContinue) {
    co_return;
  }
  request.mFingerprint =
    RequestFingerprint::Of(request.mWorkspace, method, path, request.mBody);
  RemoveHopFields(head);
  RemovePrivateFields(head);
  request.mHeader = std::move(head);
  const std::string key = FieldText(request.mHeader, header::kIdempotencyKey);
  const bool isProtected = request.mExecution == RouteExecution::AtMostOnce;
  if (isProtected && key.empty()) {
    co_await Refuse(request, ResultCode::MissingIdempotencyKey, Duration(0));
    co_return;
  }
  if (workspace) {
    const bool admitted = co_await AdmitByRate(request);
    if (!admitted) {
      co_return;
    }
  }
  if (isProtected) {
    co_await RunAtMostOnce(request, key);
    co_return;
  }
  RunResult result = co_await Run(request, nullptr);
  if (result.mFinished) {
    co_return;
  }
  if (result.mCode != ResultCode::Ok) {
    co_await Refuse(request, result.mCode, kRetryAfter);
    co_return;
  }
  co_await aConnection.Write(std::move(result.mAnswer));
}

Awaitable<AttemptResult> CallerFrontend::Attempt(RequestContext& aRequest,
                                                 TargetName aTarget,
                                                 Duration aTimeout)
{
  const auto inventory = mFleet.mInventory;
  const Target* target = inventory->FindTarget(aTarget);
  const Place* place = target ? inventory->FindPlace(target->mPlace) : nullptr;
  const InstanceInfo* owner =
    place ? mFleet.mDirectory.OwnerOf(place->mZone, aTarget.Text()) : nullptr;
  AttemptResult result;
  if (!owner) {
    result.mRefusal = ResultCode::NoTarget;
    co_return result;
  }
  if (owner->mName == mFleet.mSelf.mName) {
    result = co_await mDispatcher.Dispatch(aRequest, *target, aTimeout);
  } else {
    result = co_await mRelay.Relay(aRequest, aTarget, *owner, aTimeout);
  }
  co_return result;
}

Awaitable<void> CallerFrontend::Refuse(RequestContext& aRequest,
                                       ResultCode aCode,
                                       Duration aRetryAfter)
{
  const ResultCode code = aRequest.RefusalCode(aCode);
  aRequest.mRecord->mCode = code;
  TextResponse refusal =
    MakeRefusal(code, std::string(Name(code)), aRetryAfter);
  refusal.set(header::kRequestId, aRequest.mId);
  co_await aRequest.mSource.Write(std::move(refusal));
}

Awaitable<bool> CallerFrontend::AdmitByRate(RequestContext& aRequest)
{
  const auto decision = co_await mLimits.Admit(aRequest.mWorkspace);
  aRequest.mRecord->mAdmission = decision.mCode;
  if (decision.mCode == ResultCode::Ok) {
    co_return true;
  }
  co_await Refuse(aRequest,
                  decision.mCode,
                  std::max<Duration>(decision.mRetryAfter, kMinRetryAfter));
  co_return false;
}

Awaitable<void> CallerFrontend::RunAtMostOnce(RequestContext& aRequest,
                                              std::string aKey)
{
  const std::string length =
    std::to_string(aRequest.mSource.BodyLength().value_or(0));
  const uint64_t fingerprint =
    HashOf({ std::string_view(aRequest.mHeader.method_string().data(),
                              aRequest.mHeader.method_string().size()),
             std::string_view(aRequest.mHeader.target().data(),
                              aRequest.mHeader.target().size()),
             length });
  const RecordKey key{ aRequest.mWorkspace, std::move(aKey) };
  auto activeRequest = mHomes.MakeRequest(key, fingerprint);
  const auto step = co_await mHomes.Begin(activeRequest, aRequest.mDeadline);
  aRequest.mRecord->mHomeStep = Name(step);
  if (step == ProtectedRequest::Step::Answer) {
    TextResponse stored = DecodeStoredAnswer(mHomes.AnswerOf(*activeRequest));
    stored.set(header::kRequestId, aRequest.mId);
    co_await aRequest.mSource.Write(std::move(stored));
    co_return;
  }
  if (step != ProtectedRequest::Step::Run) {
    const ResultCode code = mHomes.RefusalOf(*activeRequest);
    mHomes.End(activeRequest, AttemptOutcome::NotRun, {});
    co_await Refuse(aRequest, code, kRetryAfter);
    co_return;
  }
  RunResult result = co_await Run(aRequest, activeRequest.get());
  if (result.mFinished) {
    const auto failureOutcome =
      result.mMayHaveRun ? AttemptOutcome::Unknown : AttemptOutcome::NotRun;
    mHomes.End(activeRequest,
               result.mCode == ResultCode::Ok ? AttemptOutcome::Answered
                                              : failureOutcome,
               {});
    co_return;
  }
  if (result.mCode != ResultCode::Ok) {
    mHomes.End(activeRequest,
               result.mMayHaveRun ? AttemptOutcome::Unknown
                                  : AttemptOutcome::NotRun,
               {});
    co_await Refuse(aRequest, result.mCode, kRetryAfter);
    co_return;
  }
  mHomes.End(activeRequest,
             AttemptOutcome::Answered,
             EncodeStoredAnswer(result.mAnswer));
  co_await aRequest.mSource.Write(std::move(result.mAnswer));
}

void CallerFrontend::ObserveLoads()
{
  if (!mFleet.mInventory) {
    return;
  }
  for (const auto& [target, load] : mMembership.Table().Loads()) {
    const auto* declared = mFleet.mInventory->FindTarget(target);
    const auto selector =
      declared ? mSelectors.find(declared->mService) : mSelectors.end();
    if (selector == mSelectors.end()) {
      continue;
    }
    const auto& summary = load.mSummary;
    selector->second.OnLoadSummary(
      target,
      { .mLoad = double(summary.mInFlight + summary.mQueued),
        .mCountedAt = load.mObservedAt });
    // A draining target has the lowest load. If it were not marked as draining,
    // it would be selected first and would refuse the request.
    selector->second.OnHealthReport(
      target, { .mDraining = summary.mUsableSlots == 0 }, load.mObservedAt);
  }
}

std::vector<TargetName> CallerFrontend::TargetsOfOtherOwners(
  const RequestContext& aRequest) const
{
  // A suspect is dispatched by a single slot owner, so that at most one attempt
  // runs at a time.
  std::map<TargetName, InstanceName> owners;
  std::vector<InstanceName> names;
  for (const auto& it : mFleet.mInventory->mTargets) {
    const Place* place = mFleet.mInventory->FindPlace(it.mPlace);
    const auto* owner =
      mFleet.mDirectory.OwnerOf(place->mZone, it.mName.Text());
    if (it.mService == aRequest.mService && owner) {
      owners[it.mName] = owner->mName;
      names.push_back(owner->mName);
    }
  }
  const auto* selected = FirstByRendezvous(aRequest.mFingerprint.Text(), names);
  std::vector<TargetName> out;
  for (const auto& [target, owner] : owners) {
    if (selected && owner != *selected) {
      out.push_back(target);
    }
  }
  return out;
}

Awaitable<CallerFrontend::RunResult> CallerFrontend::Run(
  RequestContext& aRequest,
  HomeService::ActiveRequest* aProtected)
{
  auto& selector = mSelectors.at(aRequest.mService);
  auto& budget = mBudgets[aRequest.mService];
  budget.OnRequest();
  RunResult out;
  out.mCode = ResultCode::NoTarget;
  std::vector<TargetName> excluded;
  const auto verdict =
    mDispatcher.Quarantine().Check(aRequest.mFingerprint, SteadyNow());
  if (verdict == CrashQuarantine::Verdict::Quarantined) {
    out.mCode = ResultCode::Quarantined;
    co_return out;
  }
  if (verdict == CrashQuarantine::Verdict::Suspect) {
    excluded = TargetsOfOtherOwners(aRequest);
  }
  AttemptReport report{ .mExecution = aRequest.mExecution,
                        .mDeadline = aRequest.mDeadline };
  for (report.mAttempts = 1;; ++report.mAttempts) {
    const TimePoint start = SteadyNow();
    const auto target = selector.Select(excluded, mFleet.mRandom, start);
    if (!target) {
      RequestObserver::RecordUnusableTargets(*aRequest.mRecord,
                                             selector.Assess(excluded, start));
      break;
    }
    // The permission granted by the home partition expires. A request that was
    // not started by then must not start.
    if (aProtected && report.mAttempts == 1 && !mHomes.TryStart(*aProtected)) {
      out.mCode = ResultCode::HomeUnavailable;
      break;
    }
    excluded.push_back(*target);
    const Duration left = aRequest.mDeadline - start;
    const bool canRetry = aRequest.mExecution == RouteExecution::Idempotent &&
                          aRequest.mBodyBuffered;
    selector.OnStart(*target);
    AttemptResult result = co_await Attempt(
      aRequest, *target, canRetry ? left / kAttemptTimeoutDivisor : left);
    const TimePoint end = SteadyNow();
    selector.OnEnd(
      *target, EndOf(result, aRequest.mCallerGone), end - start, end);
    RequestObserver::RecordAttempt(*aRequest.mRecord,
                                   *target,
                                   result.mRefusal,
                                   result.mFailure,
                                   end - start);
    const bool refused = result.mRefusal != ResultCode::Ok;
    if (result.mStreamed || aRequest.mCallerGone) {
      out.mFinished = true;
      out.mMayHaveRun =
        report.mEarlierMayHaveRun || (!refused && result.mBytesSent);
      out.mCode = result.IsAnswered() ? ResultCode::Ok
                                      : ResultCode::BackendConnectionLost;
      aRequest.mRecord->mCode = out.mCode;
      co_return out;
    }
    if (result.IsAnswered()) {
      out.mCode = ResultCode::Ok;
      out.mMayHaveRun = true;
      out.mAnswer = std::move(result.mAnswer);
      co_return out;
    }
    report.mFailure = refused ? AttemptFailure::Shed : *result.mFailure;
    report.mBytesSent = !refused && result.mBytesSent;
    report.mAnswerStarted = result.mAnswerStarted;
    report.mCanSendAgain = aRequest.mBodyBuffered || !aRequest.mBodyConsumed;
    const auto decision = mRetryPolicy.Decide(report, budget, end);
    report.mEarlierMayHaveRun = decision.mMayHaveRun;
    out.mMayHaveRun = decision.mMayHaveRun;
    if (!decision.mMayHaveRun) {
      out.mCode = refused ? result.mRefusal : ResultCode::NoTarget;
    } else {
      out.mCode = report.mFailure == AttemptFailure::Timeout
                    ? ResultCode::BackendTimeout
                    : ResultCode::BackendConnectionLost;
    }
    if (!decision.mRetry) {
      if (!refused || decision.mMayHaveRun) {
        out.mCode = decision.mCode;
      }
      break;
    }
  }
  co_return out;
}

} // namespace pollenway
