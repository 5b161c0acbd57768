#include "RelayListener.h"

#include "ForwardedRequest.h"
#include "HeaderNames.h"
#include "HttpHeaders.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Relayed requests in flight may use the sockets divided by this number, two
/// for each request.
constexpr unsigned kRelayedSocketDivisor = 4;
constexpr unsigned kSocketsPerRequest = 2;
/// Bodies of relayed requests may use the memory divided by this number, half
/// of what the bodies of the own callers may use.
constexpr uint64_t kRelayedBodyMemoryDivisor = 16;
/// Bytes that the fields between instances add to a request's header.
constexpr uint32_t kAddedHeaderBytes = 1024;

} // namespace

RelayListener::RelayListener(asio::any_io_executor aExecutor,
                             Options aOptions,
                             HttpServer::Handler aHandler)
  : mMaxInFlight(aOptions.mMaxSockets / kRelayedSocketDivisor /
                 kSocketsPerRequest)
  , mMaxBodyBytes(aOptions.mMemoryBytes / kRelayedBodyMemoryDivisor)
  , mBodies({ .mSharedBytes = mMaxBodyBytes })
  , mServer(aExecutor, HttpLimits(), std::move(aHandler))
{
}

void RelayListener::SetLimits(HttpLimits aLimits)
{
  aLimits.mHeaderBytes += kAddedHeaderBytes;
  aLimits.mKeepAliveTimeout = HttpLimits().mKeepAliveTimeout;
  mServer.SetLimits(aLimits);
}

Result<void> RelayListener::ReadFields(ForwardedRequest& aRequest) const
{
  const auto attempts =
    NumberField(aRequest.mHeader, header::kRelayAttempts, 0);
  const ServiceName service(FieldText(aRequest.mHeader, header::kRelayService));
  const auto& services = aRequest.mRule->mServices;
  const bool hasService = std::any_of(
    services.begin(), services.end(), [&](const WeightedService& aService) {
      return aService.mService == service;
    });
  if (attempts == 0 || !hasService) {
    return Error{ ResultCode::BadRequest,
                  "the relayed request does not match its route",
                  {} };
  }
  aRequest.mMaxAttempts =
    unsigned(std::min<uint64_t>(aRequest.mMaxAttempts, attempts));
  aRequest.mService = service;
  return outcome::success();
}

} // namespace pollenway
