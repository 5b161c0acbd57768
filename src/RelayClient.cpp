#include "RelayClient.h"

#include "HeaderNames.h"
#include "HttpHeaders.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

ForwarderOptions RelayOptions(ForwarderOptions aOptions)
{
  aOptions.mIsPeer = true;
  // A slot owner answers "Expect" only after the request has left its queue.
  aOptions.mContinueTimeout = std::chrono::minutes(10);
  return aOptions;
}

/// Converts the slot owner's report into the result of the attempt.
void ReadRelayResult(AttemptResult& aResult)
{
  const auto& head = aResult.mAnswer.base();
  const auto kind = head[header::kRelayResult];
  if (kind == "refusal") {
    aResult.mRefusal = ResultCode(
      NumberField(head, header::kCode, uint64_t(ResultCode::InternalError)));
    aResult.mBytesSent = false;
  } else if (kind == "failure") {
    aResult.mFailure = AttemptFailure(NumberField(
      head, header::kRelayFailure, uint64_t(AttemptFailure::ConnectionLost)));
    aResult.mBytesSent = head[header::kRelayBytesSent] != "0";
  }
  RemovePrivateFields(aResult.mAnswer);
}

} // namespace

RelayClient::RelayClient(asio::any_io_executor aExecutor,
                         ForwarderOptions aOptions)
  : mPool(aExecutor, {})
  , mForwarder(mPool, RelayOptions(aOptions))
{
}

Awaitable<AttemptResult> RelayClient::Relay(RequestContext& aRequest,
                                            TargetName aTarget,
                                            InstanceInfo aOwner,
                                            Duration aTimeout)
{
  RequestHeader head = aRequest.mHeader;
  const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
    aRequest.mDeadline - SteadyNow());
  head.set(header::kRelayTarget, aTarget.Text());
  head.set(header::kRequestId, aRequest.mId);
  head.set(header::kDeadlineMs,
           std::to_string(std::max<int64_t>(0, timeLeft.count())));
  head.set(header::kRelayExecution, std::to_string(int(aRequest.mExecution)));
  head.set(header::kRelayWeight,
           std::to_string(uint64_t(aRequest.mWeight * 1000)));
  head.set(header::kRelayFingerprint,
           std::to_string(aRequest.mFingerprint.mValue));
  if (!aRequest.mWorkspace.IsEmpty()) {
    head.set(header::kWorkspace, aRequest.mWorkspace.Text());
  }
  const tcp::endpoint endpoint(asio::ip::make_address(aOwner.mAddress),
                               aOwner.mRelayPort);
  AttemptResult result =
    co_await mForwarder.Forward(aRequest, endpoint, std::move(head), aTimeout);
  if (!result.mFailure && !result.mStreamed) {
    ReadRelayResult(result);
  }
  co_return result;
}

} // namespace pollenway
