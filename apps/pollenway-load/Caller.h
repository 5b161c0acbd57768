#pragma once

#include "AttemptResult.h"
#include "HttpClientPool.h"
#include "IdealBucket.h"
#include "InstanceCache.h"
#include "LoadPlan.h"
#include "LoadStatistics.h"
#include "Random.h"

#include <string>

namespace pollenway {

/// A simulated caller with its own connections and cached look-up answers.
class Caller
{
public:
  Caller(asio::any_io_executor aExecutor,
         const LoadPlan& aPlan,
         const WorkspacePlan& aWorkspace,
         std::optional<asio::ip::address> aSource,
         IdealBucket& aBucket,
         Random& aRandom,
         LoadStatistics& aStatistics);

  /// Sends a request and retries it until it is answered, refused without a
  /// retry, or out of retries. Latency counts from `aArrival`, the planned time
  /// of the request.
  Awaitable<void> Send(const Operation& aOperation,
                       uint64_t aNumber,
                       TimePoint aArrival);

private:
  struct Request;

  Awaitable<AttemptResult> Attempt(Request& aRequest);
  Awaitable<ErrorCode> Write(HttpClientConnection& aConnection,
                             Request& aRequest);
  /// Reads the answer after its header and checks that it matches the request.
  Awaitable<AttemptResult> ReadAnswer(HttpClientConnection& aConnection,
                                      Request& aRequest);
  Awaitable<std::optional<tcp::endpoint>> ChooseEndpoint(
    const std::string& aService);
  /// Returns true if the request is to be retried, and sets the retry delay.
  bool ShouldRetry(const AttemptResult& aResult,
                   unsigned aAttempt,
                   Duration& aPause);

  asio::any_io_executor mExecutor;
  const LoadPlan& mPlan;
  const WorkspacePlan& mWorkspace;
  IdealBucket& mBucket;
  Random& mRandom;
  LoadStatistics& mStatistics;
  HttpClientPool mPool;
  InstanceCache mInstances;
};

} // namespace pollenway
