#include "RelayServer.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

TextResponse MakeRelayRefusal(ResultCode aCode)
{
  TextResponse answer = MakeRefusal(aCode, "refused by the slot owner");
  answer.set(header::kRelayResult, "refusal");
  return answer;
}

TextResponse MakeRelayFailure(const AttemptResult& aResult)
{
  TextResponse answer(http::status::bad_gateway, 11);
  answer.set(header::kRelayResult, "failure");
  answer.set(header::kRelayFailure, std::to_string(int(*aResult.mFailure)));
  answer.set(header::kRelayBytesSent, aResult.mBytesSent ? "1" : "0");
  return answer;
}

} // namespace

RelayServer::RelayServer(asio::any_io_executor aExecutor,
                         FleetState& aFleet,
                         BackendDispatcher& aDispatcher)
  : mFleet(aFleet)
  , mDispatcher(aDispatcher)
  , mServer(aExecutor, {}, [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

Result<void> RelayServer::Listen()
{
  return mServer.Listen(mFleet.mSettings.mAddress, mFleet.mSettings.mRelayPort);
}

Awaitable<void> RelayServer::Handle(HttpConnection& aConnection)
{
  const auto inventory = mFleet.mInventory;
  RequestHeader head = aConnection.Header();
  const TargetName name(FieldText(head, header::kRelayTarget));
  const Target* target = inventory ? inventory->FindTarget(name) : nullptr;
  const Service* service =
    target ? inventory->FindService(target->mService) : nullptr;
  if (!service) {
    const auto code =
      inventory ? ResultCode::NoTarget : ResultCode::NoConfiguration;
    TextResponse refusal = MakeRelayRefusal(code);
    co_await aConnection.Write(std::move(refusal));
    co_return;
  }
  const uint64_t deadlineMs = NumberField(head, header::kDeadlineMs, 0);
  const Duration timeLeft = std::min<Duration>(
    std::chrono::milliseconds(deadlineMs), service->mTimeout);
  RequestContext request{ .mSource = aConnection };
  request.mId = FieldText(head, header::kRequestId);
  request.mService = service->mName;
  request.mExecution =
    RouteExecution(NumberField(head, header::kRelayExecution, 1));
  request.mWorkspace = WorkspaceName(FieldText(head, header::kWorkspace));
  request.mWeight =
    double(NumberField(head, header::kRelayWeight, 1000)) / 1000;
  request.mFingerprint.mValue = NumberField(head, header::kRelayFingerprint, 0);
  request.mDeadline = SteadyNow() + timeLeft;
  request.mIdleTimeout = service->mIdleTimeout;
  const ActiveRequests::Entry entry(mActiveRequests, request);
  aConnection.SetIdleTimeout(service->mIdleTimeout);
  const bool isWhole = co_await BufferSmallBody(request);
  if (!isWhole) {
    co_return;
  }
  RemoveHopFields(head);
  RemovePrivateFields(head);
  request.mHeader = std::move(head);
  AttemptResult result = co_await mDispatcher.Dispatch(request, *target);
  if (result.mStreamed) {
    co_return;
  }
  TextResponse answer = result.mAnswer;
  if (result.mRefusal != ResultCode::Ok) {
    answer = MakeRelayRefusal(request.RefusalCode(result.mRefusal));
  } else if (result.mFailure) {
    answer = MakeRelayFailure(result);
  }
  co_await aConnection.Write(std::move(answer));
}

} // namespace pollenway
