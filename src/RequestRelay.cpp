#include "RequestRelay.h"

#include "ForwardedRequest.h"
#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "RegisteredTarget.h"
#include "RequestObserver.h"
#include "SteadyTime.h"

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// A connection to another instance takes a round trip, at most 110 ms between
/// regions.
constexpr Duration kConnectTimeout = 300ms;
/// Instances keep idle connections open for longer than this.
constexpr Duration kMaxIdleTime = 8s;
constexpr size_t kMaxIdlePerPeer = 32;
/// Idle connections to other instances may use the sockets divided by this
/// number.
constexpr unsigned kIdleSocketDivisor = 8;
/// Time for which an instance that did not serve a request is used only if
/// there is no other one: about an interval between its reports.
constexpr Duration kAvoidTime = 500ms;

HttpClientPoolOptions PoolOptions(unsigned aSockets)
{
  HttpClientPoolOptions out;
  out.mConnectTimeout = kConnectTimeout;
  out.mMaxIdleTime = kMaxIdleTime;
  out.mMaxIdlePerEndpoint = kMaxIdlePerPeer;
  out.mMaxIdleInTotal = aSockets / kIdleSocketDivisor;
  return out;
}

template<typename T>
bool Contains(const std::vector<T>& aList, const T& aValue)
{
  return std::find(aList.begin(), aList.end(), aValue) != aList.end();
}

/// Returns true if the request may be sent to a region. Each list of regions
/// that is not empty must contain it.
bool MayUseRegion(const ForwardedRequest& aRequest, const RegionName& aRegion)
{
  const auto allows = [&](const std::vector<RegionName>& aRegions) {
    return aRegions.empty() || Contains(aRegions, aRegion);
  };
  return allows(aRequest.mRule->mAllowedRegions) &&
         (!aRequest.mWorkspace || allows(aRequest.mWorkspace->mAllowedRegions));
}

/// Returns the failure of the attempt that a refusal with an unknown outcome
/// stands for.
AttemptFailure FailureOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::BackendTimeout:
      return AttemptFailure::Timeout;
    case ResultCode::AnswerIncomplete:
      return AttemptFailure::AnswerCut;
    default:
      return AttemptFailure::ConnectionLost;
  }
}

} // namespace

RequestRelay::Attempt::Attempt(RequestRelay& aRelay, IpEndpoint aPeer)
  : mRelay(aRelay)
  , mPeer(std::move(aPeer))
{
  ++mRelay.mPeers[mPeer].mInFlight;
}

RequestRelay::Attempt::~Attempt()
{
  --mRelay.mPeers[mPeer].mInFlight;
}

TargetExchange RequestRelay::Attempt::MakeExchange(
  const PlatformAdapter& aPlatform)
{
  ErrorCode ec;
  return TargetExchange(
    mRelay.mPool,
    aPlatform,
    tcp::endpoint(asio::ip::make_address(mPeer.mAddress, ec), mPeer.mPort));
}

RequestRelay::RequestRelay(asio::any_io_executor aExecutor,
                           Options aOptions,
                           Sources aSources)
  : mOptions(aOptions)
  , mSources(std::move(aSources))
  , mPool(aExecutor, PoolOptions(aOptions.mMaxSockets))
  , mRandom(aOptions.mSeed)
{
}

bool RequestRelay::IsAvoided(const IpEndpoint& aPeer, TimePoint aNow) const
{
  const auto it = mPeers.find(aPeer);
  return it != mPeers.end() && aNow < it->second.mAvoidedUntil;
}

unsigned RequestRelay::InFlight(const IpEndpoint& aPeer) const
{
  const auto it = mPeers.find(aPeer);
  return it == mPeers.end() ? 0 : it->second.mInFlight;
}

std::optional<IpEndpoint> RequestRelay::Choose(const ForwardedRequest& aRequest,
                                               TimePoint aNow)
{
  if (mOptions.mPort == 0) {
    return std::nullopt;
  }
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aEntry.second.mInFlight == 0 && aEntry.second.mAvoidedUntil <= aNow;
  });
  std::vector<IpEndpoint> nearest;
  std::pair<bool, int> best{};
  for (const auto& it : mSources.mCandidates()) {
    IpEndpoint peer{ it.mCaller.mAddress, mOptions.mPort };
    if (Contains(aRequest.mTriedPeers, peer) ||
        !MayUseRegion(aRequest, it.mRegion)) {
      continue;
    }
    const std::pair rank{ IsAvoided(peer, aNow), it.mDistance };
    if (nearest.empty() || rank < best) {
      nearest.clear();
      best = rank;
    }
    if (rank == best) {
      nearest.push_back(std::move(peer));
    }
  }
  if (nearest.empty()) {
    return std::nullopt;
  }
  const auto& first = nearest[mRandom.Below(nearest.size())];
  const auto& second = nearest[mRandom.Below(nearest.size())];
  return InFlight(second) < InFlight(first) ? second : first;
}

std::shared_ptr<const SharedRequest> RequestRelay::MakeRequest(
  const ForwardedRequest& aRequest,
  const PlatformAdapter& aPlatform,
  unsigned aAttemptsLeft)
{
  auto out = std::make_shared<SharedRequest>(aRequest.mHeader);
  RemoveHopFields(*out);
  RemoveInternalFields(*out);
  out->version(11);
  out->set(header::kRelayService, aRequest.mService.Text());
  out->set(header::kRelayAttempts, std::to_string(aAttemptsLeft));
  out->set(aPlatform.Fields().mDeadline,
           aPlatform.WriteDeadline(aRequest.mDeadline - SteadyNow()));
  out->SetBody(aRequest.mBody);
  out->content_length(aRequest.mBody->size());
  return out;
}

unsigned RequestRelay::ReadRefusal(TargetAnswer& aAnswer)
{
  if (aAnswer.mFailure) {
    return 0;
  }
  auto& head = aAnswer.mHeader;
  const unsigned attempts = NumberField(head, header::kRelayAttempts, 0);
  const auto result = head[header::kRelayResult];
  if (result == "answer") {
    return attempts;
  }
  const auto code = ResultCode(
    NumberField(head, header::kCode, int(ResultCode::InternalError)));
  const bool hasNotRun =
    result == "refusal" && OutcomeOf(code) == Outcome::NotRun;
  aAnswer.mFailure = hasNotRun ? AttemptFailure::Shed : FailureOf(code);
  aAnswer.mBytesSent = !hasNotRun;
  aAnswer.mDetail = "the other instance refused: " + std::string(Name(code));
  return attempts;
}

void RequestRelay::WriteLeaving(ResponseHeader& aHeader,
                                const TargetName& aTarget,
                                int64_t aStartedAtMs)
{
  aHeader.set(header::kRelayTarget, aTarget.Text());
  aHeader.set(header::kRelayLeavingStartMs, std::to_string(aStartedAtMs));
}

std::optional<RegisteredTarget> RequestRelay::ReadLeaving(
  const ResponseHeader& aHeader)
{
  if (aHeader.count(header::kRelayLeavingStartMs) == 0) {
    return std::nullopt;
  }
  RegisteredTarget out;
  out.mName = TargetName(FieldText(aHeader, header::kRelayTarget));
  out.mStartedAtMs =
    int64_t(NumberField(aHeader, header::kRelayLeavingStartMs, 0));
  return out;
}

void RequestRelay::OnResult(const IpEndpoint& aPeer,
                            const TargetAnswer& aAnswer,
                            TimePoint aNow)
{
  ++mResults[aAnswer.mFailure ? std::string(Name(*aAnswer.mFailure))
                              : "answered"];
  if (aAnswer.mFailure == AttemptFailure::ConnectFailed ||
      aAnswer.mFailure == AttemptFailure::ConnectionLost ||
      aAnswer.mFailure == AttemptFailure::Shed) {
    mPeers[aPeer].mAvoidedUntil = aNow + kAvoidTime;
  }
}

} // namespace pollenway
