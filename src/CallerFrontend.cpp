#include "CallerFrontend.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "Logger.h"
#include "NetworkPrefix.h"
#include "RendezvousHash.h"
#include "Sha256.h"
#include "SteadyTime.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

/// Bodies up to this size are kept whole, so that they can be sent again.
constexpr size_t kKeptBodyBytes = 64 * 1024;
constexpr size_t kInstancesInAnswer = 3;
const beast::string_view kLookupPath = "/.pollenway/lookup";

/// Share of the time left that an attempt may take if another can follow. A
/// connection that went silent then leaves time for a retry.
constexpr int kAttemptDivisor = 2;

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

/// Value of a query parameter; names and values are plain tokens here.
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
                               BackendDispatcher& aDispatcher,
                               ForwarderOptions aOptions)
  : mFleet(aFleet)
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
  const bool isLookup = target.substr(0, kLookupPath.size()) == kLookupPath;
  if (isLookup) {
    co_await HandleLookup(aConnection);
  } else {
    co_await HandleRequest(aConnection);
  }
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
  const ServiceName name(QueryParameter(target, "service"));
  const Service* service = inventory->FindService(name);
  if (!service) {
    TextResponse refusal = MakeRefusal(ResultCode::NotFound, "no such service");
    co_await aConnection.Write(std::move(refusal));
    co_return;
  }
  const auto client =
    NetworkPrefix::ParseAddress(aConnection.Peer().address().to_string());
  RegionName region = inventory->mRegions.front().mName;
  std::string block;
  unsigned longest = 0;
  for (const auto& it : inventory->mClientBlocks) {
    const auto prefix = NetworkPrefix::Parse(it.mPrefix);
    if (prefix && client && prefix->Contains(*client) &&
        prefix->mLength >= longest) {
      longest = prefix->mLength;
      region = it.mRegion;
      block = it.mPrefix;
    }
  }
  std::vector<InstanceName> names;
  for (const auto& it : mFleet.mDirectory.All()) {
    const Region* itsRegion = inventory->RegionOfZone(it.mZone);
    if (!it.mLeaving && itsRegion && itsRegion->mName == region) {
      names.push_back(it.mName);
    }
  }
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& it : RankByRendezvous(name.Text() + block, names)) {
    const auto* info = mFleet.mDirectory.Find(it);
    instances.push_back({ { "address", info->mAddress },
                          { "port", info->mCallerPort },
                          { "weight", 1 } });
    if (instances.size() == kInstancesInAnswer) {
      break;
    }
  }
  const auto ttl =
    std::chrono::duration_cast<std::chrono::milliseconds>(service->mLookupTtl);
  const nlohmann::json body = { { "version", inventory->mGeneration },
                                { "ttl_ms", ttl.count() },
                                { "region", region.Text() },
                                { "instances", instances } };
  TextResponse answer = MakeJsonAnswer(http::status::ok, body.dump() + "\n");
  co_await aConnection.Write(std::move(answer));
}

Result<const Workspace*> CallerFrontend::Authenticate(
  const Inventory& aInventory,
  const std::string& aKey) const
{
  if (aKey.empty()) {
    return Error{ ResultCode::MissingKey, "no tenant key", {} };
  }
  const std::string digest = Sha256Hex(aKey);
  for (const auto& it : aInventory.mKeys) {
    if (it.mDigest != digest) {
      continue;
    }
    if (it.mWithdrawn) {
      return Error{ ResultCode::WithdrawnKey, "the key is withdrawn", {} };
    }
    return aInventory.FindWorkspace(it.mWorkspace);
  }
  return Error{ ResultCode::UnknownKey, "unknown tenant key", {} };
}

std::string CallerFrontend::NextRequestId()
{
  return mFleet.mSelf.mName.Text() + "-" +
         std::to_string(mFleet.mSelf.mIncarnation) + "-" +
         std::to_string(++mRequests);
}

Awaitable<void> CallerFrontend::HandleRequest(HttpConnection& aConnection)
{
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
    auto found = Authenticate(*inventory, BearerKey(head));
    if (found) {
      workspace = found.value();
    } else {
      error = found.error();
      match.mRoute = nullptr;
    }
  }
  if (!match.mRoute) {
    TextResponse refusal = MakeRefusal(error.mCode, error.mDetail);
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
  request.mId = NextRequestId();
  request.mService = service.mName;
  request.mExecution = match.mRoute->mExecution;
  request.mWorkspace = workspace ? workspace->mName : WorkspaceName();
  request.mWeight = workspace ? workspace->mWeight : 1;
  request.mDeadline =
    SteadyNow() +
    std::min<Duration>(std::chrono::milliseconds(deadlineMs), service.mTimeout);
  request.mIdleTimeout = service.mIdleTimeout;
  aConnection.SetIdleTimeout(service.mIdleTimeout);
  const auto length = aConnection.BodyLength();
  if (length && *length <= kKeptBodyBytes) {
    auto body = co_await aConnection.ReadBody(kKeptBodyBytes);
    if (!body) {
      co_return;
    }
    request.mBody = std::move(body.value());
    request.mBodyKept = true;
    aConnection.WatchDisconnect([&request] {
      request.mCallerGone = true;
      if (request.mCancel) {
        request.mCancel();
      }
    });
  }
  request.mFingerprint =
    RequestFingerprint::Of(request.mWorkspace, method, path, request.mBody);
  RemoveHopFields(head);
  RemovePrivateFields(head);
  request.mHeader = std::move(head);
  co_await Run(request);
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
    result = co_await mDispatcher.Dispatch(aRequest, *target);
  } else {
    result = co_await mRelay.Relay(aRequest, aTarget, *owner, aTimeout);
  }
  co_return result;
}

Awaitable<void> CallerFrontend::Run(RequestContext& aRequest)
{
  auto& selector = mSelectors.at(aRequest.mService);
  auto& budget = mBudgets[aRequest.mService];
  budget.OnRequest();
  std::vector<TargetName> excluded;
  AttemptReport report{ .mExecution = aRequest.mExecution,
                        .mDeadline = aRequest.mDeadline };
  ResultCode code = ResultCode::NoTarget;
  for (report.mAttempts = 1;; ++report.mAttempts) {
    const TimePoint start = SteadyNow();
    const auto target = selector.Select(excluded, mFleet.mRandom, start);
    if (!target) {
      break;
    }
    excluded.push_back(*target);
    const Duration left = aRequest.mDeadline - start;
    const bool canRepeat =
      aRequest.mExecution == RouteExecution::Idempotent && aRequest.mBodyKept;
    selector.OnStart(*target);
    AttemptResult result = co_await Attempt(
      aRequest, *target, canRepeat ? left / kAttemptDivisor : left);
    const TimePoint end = SteadyNow();
    selector.OnEnd(
      *target, EndOf(result, aRequest.mCallerGone), end - start, end);
    if (result.mStreamed || aRequest.mCallerGone) {
      co_return;
    }
    if (result.IsAnswered()) {
      co_await aRequest.mSource.Write(std::move(result.mAnswer));
      co_return;
    }
    const bool refused = result.mRefusal != ResultCode::Ok;
    report.mFailure = refused ? AttemptFailure::Shed : *result.mFailure;
    report.mBytesSent = !refused && result.mBytesSent;
    report.mAnswerStarted = result.mAnswerStarted;
    report.mCanSendAgain = aRequest.mBodyKept || !aRequest.mBodyConsumed;
    const auto decision = mRetryPolicy.Decide(report, budget, end);
    report.mEarlierMayHaveRun = decision.mMayHaveRun;
    if (!decision.mMayHaveRun) {
      code = refused ? result.mRefusal : ResultCode::NoTarget;
    } else {
      code = report.mFailure == AttemptFailure::Timeout
               ? ResultCode::BackendTimeout
               : ResultCode::BackendConnectionLost;
    }
    if (!decision.mRetry) {
      code = refused && !decision.mMayHaveRun ? code : decision.mCode;
      break;
    }
  }
  TextResponse refusal =
    MakeRefusal(code, "no attempt succeeded", std::chrono::seconds(1));
  co_await aRequest.mSource.Write(std::move(refusal));
}

} // namespace pollenway
