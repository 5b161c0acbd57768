#include "BackendDispatcher.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>

namespace pollenway {

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
                                     ForwarderOptions aOptions)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
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
  result = co_await mForwarder.Forward(
    aRequest, endpoint, std::move(head), std::min(left, aTimeout));
  mSlots.Release(ticket);
  ServeQueue(aTarget.mName);
  co_return result;
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
  const bool someWait = queue != mQueues.end() && !queue->second.IsEmpty();
  if (state == SlotState::Free && !someWait) {
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
