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

/// One caller with its own connections and look-up answers.
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

  /// Sends a request until it is answered, refused for good or out of
  /// retries. `aArrival`: when it was due, from which its latency counts.
  Awaitable<void> Send(const Operation& aOperation,
                       uint64_t aNumber,
                       TimePoint aArrival);

private:
  struct Request;

  Awaitable<AttemptResult> Attempt(Request& aRequest);
  Awaitable<ErrorCode> Write(HttpClientConnection& aConnection,
                             Request& aRequest);
  /// Reads and judges the answer whose header was read.
  Awaitable<AttemptResult> ReadAnswer(HttpClientConnection& aConnection,
                                      Request& aRequest);
  Awaitable<std::optional<tcp::endpoint>> ChooseEndpoint(
    const std::string& aService);
  /// Whether the last result calls for another attempt; sets the pause.
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
