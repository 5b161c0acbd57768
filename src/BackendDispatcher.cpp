#include "BackendDispatcher.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "Logger.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>

namespace pollenway {

namespace {

constexpr auto kCrashProbeTimeout = std::chrono::milliseconds(200);
/// Connections to a target that are lost within this time after a crash are
/// attributed to that crash.
constexpr auto kCrashMergeInterval = std::chrono::seconds(1);
/// Delay of the answer to a request that was lost in a crash. The instances of
/// other regions (55 ms away) must receive the crash report before the caller
/// sends the request again.
constexpr auto kCrashAnswerDelay = std::chrono::milliseconds(150);

} // namespace

struct BackendDispatcher::Waiter
{
  explicit Waiter(asio::any_io_executor aExecutor)
    : mTimer(aExecutor)
  {
  }

  void Finish(ResultCode aCode)
  {
    mCode = aCode;
    mDone = true;
    mTimer.cancel();
  }

  asio::steady_timer mTimer;
  SlotTicket mTicket{};
  ResultCode mCode = ResultCode::DeadlineBeforeStart;
  bool mDone = false;
};

BackendDispatcher::BackendDispatcher(asio::any_io_executor aExecutor,
                                     FleetState& aFleet,
                                     PeerTransport& aTransport,
                                     ForwarderOptions aOptions)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mTransport(aTransport)
  , mPool(aExecutor, {})
  , mForwarder(mPool, aOptions)
{
}

Awaitable<AttemptResult> BackendDispatcher::Dispatch(RequestContext& aRequest,
                                                     const Target& aTarget,
                                                     Duration aTimeout)
{
  AttemptResult result;
  SlotTicket ticket;
  const ResultCode code = co_await WaitForSlot(aRequest, aTarget, ticket);
  if (code != ResultCode::Ok) {
    result.mRefusal = code;
    co_return result;
  }
  const TimePoint now = SteadyNow();
  if (aRequest.mCallerGone || aRequest.mDeadline <= now) {
    mSlots.Release(ticket);
    ServeQueue(aTarget.mName);
    result.mRefusal = ResultCode::DeadlineBeforeStart;
    co_return result;
  }
  bool isSuspect = false;
  result.mRefusal = CheckQuarantine(aRequest, aTarget.mName, isSuspect);
  if (result.mRefusal != ResultCode::Ok) {
    mSlots.Release(ticket);
    ServeQueue(aTarget.mName);
    co_return result;
  }
  const Duration left = aRequest.mDeadline - now;
  RequestHeader head = aRequest.mHeader;
  head.set(header::kRequestId, aRequest.mId);
  if (!aRequest.mWorkspace.IsEmpty()) {
    head.set(header::kWorkspace, aRequest.mWorkspace.Text());
  }
  head.set(
    header::kDeadlineMs,
    std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  const tcp::endpoint endpoint(asio::ip::make_address(aTarget.mAddress),
                               aTarget.mPort);
  const TargetName name = aTarget.mName;
  mInFlight[name].push_back(aRequest.mFingerprint);
  result = co_await mForwarder.Forward(
    aRequest, endpoint, std::move(head), std::min(left, aTimeout));
  mSlots.Release(ticket);
  ServeQueue(name);
  co_await OnAttemptEnded(
    aRequest.mFingerprint, name, endpoint, result.mFailure, isSuspect);
  co_return result;
}

ResultCode BackendDispatcher::CheckQuarantine(const RequestContext& aRequest,
                                              const TargetName& aTarget,
                                              bool& aIsSuspect)
{
  const TimePoint now = SteadyNow();
  const auto verdict = mQuarantine.Check(aRequest.mFingerprint, now);
  if (verdict == CrashQuarantine::Verdict::Quarantined) {
    return ResultCode::Quarantined;
  }
  if (verdict == CrashQuarantine::Verdict::Free) {
    return ResultCode::Ok;
  }
  // With two suspects at one target, a crash could not be attributed to either
  // of them.
  const auto inFlight = mInFlight.find(aTarget);
  const bool hasOtherSuspect =
    inFlight != mInFlight.end() && mQuarantine.HasSuspect(inFlight->second);
  aIsSuspect = !hasOtherSuspect &&
               mQuarantine.TryStartSuspect(aRequest.mFingerprint, aTarget, now);
  return aIsSuspect ? ResultCode::Ok : ResultCode::Quarantined;
}

Awaitable<bool> BackendDispatcher::IsTargetDown(tcp::endpoint aEndpoint)
{
  HttpClientConnection connection(mExecutor);
  auto connected = co_await connection.Connect(aEndpoint, kCrashProbeTimeout);
  const bool isDown = !connected;
  co_return isDown;
}

void BackendDispatcher::NotifyAllPeers(const PeerBody& aBody)
{
  for (const auto& it : mFleet.mDirectory.All()) {
    if (it.mName != mFleet.mSelf.mName) {
      mTransport.Notify({ it.mAddress, it.mPeerPort }, aBody);
    }
  }
}

Awaitable<void> BackendDispatcher::OnAttemptEnded(
  RequestFingerprint aRequest,
  TargetName aTarget,
  tcp::endpoint aEndpoint,
  std::optional<AttemptFailure> aFailure,
  bool aIsSuspect)
{
  const bool lost = aFailure == AttemptFailure::ConnectionLost ||
                    aFailure == AttemptFailure::AnswerCut;
  if (lost) {
    const bool crashed = co_await IsTargetDown(aEndpoint);
    const TimePoint now = SteadyNow();
    if (crashed && now - mLastCrashAt[aTarget] > kCrashMergeInterval) {
      mLastCrashAt[aTarget] = now;
      peer::CrashSuspect notice;
      notice.mReport.mId = { mFleet.mSelf.mName,
                             mFleet.mSelf.mIncarnation,
                             ++mCrashes };
      notice.mReport.mInFlight = mInFlight[aTarget];
      mQuarantine.OnCrash(notice.mReport, now);
      Log(LogLevel::Warn,
          "target_crashed",
          { { "target", aTarget.Text() },
            { "in_flight", notice.mReport.mInFlight.size() } });
      NotifyAllPeers(notice);
    }
    if (crashed) {
      // Peers must receive the crash report before the caller can retry.
      asio::steady_timer timer(mExecutor, kCrashAnswerDelay);
      ErrorCode ec;
      co_await timer.async_wait(Into(ec));
    }
  }
  auto& inFlight = mInFlight[aTarget];
  const auto it = std::find(inFlight.begin(), inFlight.end(), aRequest);
  if (it != inFlight.end()) {
    inFlight.erase(it);
  }
  if (!aFailure) {
    if (mQuarantine.OnCompleted(aRequest)) {
      peer::CrashCleared notice;
      notice.mRequest = aRequest;
      NotifyAllPeers(notice);
    }
  } else if (aIsSuspect) {
    mQuarantine.OnSuspectRunEnded(aRequest);
  }
}

Awaitable<ResultCode> BackendDispatcher::WaitForSlot(RequestContext& aRequest,
                                                     const Target& aTarget,
                                                     SlotTicket& aTicket)
{
  const TargetName name = aTarget.mName;
  const TimePoint now = SteadyNow();
  const SlotState state = mSlots.State(name, now);
  if (state == SlotState::NotOwned) {
    co_return ResultCode::StaleView;
  }
  if (state == SlotState::Draining) {
    co_return ResultCode::NoTarget;
  }
  auto queue = mQueues.find(name);
  const bool hasWaiters = queue != mQueues.end() && !queue->second.IsEmpty();
  if (state == SlotState::Free && !hasWaiters) {
    aTicket = *mSlots.Acquire(name, now);
    co_return ResultCode::Ok;
  }
  if (queue == mQueues.end()) {
    FairQueueOptions options;
    const auto* service = mFleet.mInventory->FindService(aTarget.mService);
    if (service) {
      options.mLimit = service->mQueueLimit;
      options.mWorkspaceLimit = std::max(1U, service->mQueueLimit / 2);
    }
    queue = mQueues.emplace(name, Queue(options)).first;
  }
  auto waiter = std::make_shared<Waiter>(mExecutor);
  auto pushed = queue->second.Push(
    aRequest.mWorkspace, aRequest.mWeight, aRequest.mDeadline, waiter);
  if (pushed.mRefused) {
    (*pushed.mRefused)->Finish(ResultCode::QueueFull);
  }
  if (pushed.mId == 0) {
    co_return ResultCode::QueueFull;
  }
  ServeQueue(name);
  aRequest.mCancel = [waiter] {
    waiter->Finish(ResultCode::DeadlineBeforeStart);
  };
  if (!waiter->mDone) {
    waiter->mTimer.expires_after(aRequest.mDeadline - now);
    ErrorCode ec;
    co_await waiter->mTimer.async_wait(Into(ec));
  }
  aRequest.mCancel = nullptr;
  if (waiter->mCode == ResultCode::Ok) {
    aTicket = waiter->mTicket;
    co_return ResultCode::Ok;
  }
  auto it = mQueues.find(name);
  if (it != mQueues.end()) {
    it->second.Remove(pushed.mId);
  }
  co_return waiter->mCode;
}

void BackendDispatcher::ServeQueue(const TargetName& aTarget)
{
  auto it = mQueues.find(aTarget);
  if (it == mQueues.end()) {
    return;
  }
  const TimePoint now = SteadyNow();
  auto& queue = it->second;
  for (auto& expired : queue.TakeExpired(now)) {
    expired->Finish(ResultCode::DeadlineBeforeStart);
  }
  while (!queue.IsEmpty() && mSlots.State(aTarget, now) == SlotState::Free) {
    auto next = queue.Pop(now);
    if (!next) {
      break;
    }
    if ((*next)->mDone) {
      continue;
    }
    (*next)->mTicket = *mSlots.Acquire(aTarget, now);
    (*next)->Finish(ResultCode::Ok);
  }
}

void BackendDispatcher::ClearQueue(const TargetName& aTarget, ResultCode aCode)
{
  auto it = mQueues.find(aTarget);
  if (it == mQueues.end()) {
    return;
  }
  for (auto& waiter : it->second.TakeAll()) {
    waiter->Finish(aCode);
  }
}

size_t BackendDispatcher::Queued(const TargetName& aTarget) const
{
  const auto it = mQueues.find(aTarget);
  return it == mQueues.end() ? 0 : it->second.Size();
}

} // namespace pollenway
