#pragma once

#include "Backoff.h"
#include "HttpClientPool.h"
#include "ObjectStore.h"
#include "StoreCallCounts.h"

namespace pollenway {

/// The platform's object API over HTTP.
class StoreClient : public ObjectStore
{
public:
  struct Options
  {
    tcp::endpoint mEndpoint;
    Duration mConnectTimeout = std::chrono::seconds(1);
    /// Time-out for each part of an answer; a watch's own time-out is added to
    /// it.
    Duration mRequestTimeout = std::chrono::seconds(2);
    Backoff::Options mBackoff{};
    uint64_t mSeed = 1;
  };

  StoreClient(asio::any_io_executor aExecutor, Options aOptions);

  Awaitable<Result<StoredObject>> Get(std::string aKind,
                                      std::string aName) override;
  Awaitable<Result<StoreListing>> List(std::string aKind,
                                       ReadFreshness aFreshness) override;
  Awaitable<StoreWrite> Put(std::string aKind,
                            std::string aName,
                            std::string aValue,
                            StoreCondition aCondition) override;
  Awaitable<StoreWrite> Delete(std::string aKind,
                               std::string aName,
                               StoreCondition aCondition) override;
  Awaitable<Result<StoreChanges>> Watch(std::string aKind,
                                        StorePosition aAfter,
                                        Duration aTimeout) override;
  Awaitable<Result<std::vector<ListedInstance>>> ListInstances() override;
  Duration RetryPause() const override { return mRetryPause; }

  const StoreCallCounts& Calls() const { return mCalls; }

private:
  struct Exchange;

  Awaitable<void> Run(Exchange& aExchange);
  Awaitable<StoreWrite> Write(http::verb aMethod,
                              std::string aPath,
                              std::string aValue,
                              StoreCondition aCondition);
  void OnCallEnded(bool aAnswered);

  Options mOptions;
  HttpClientPool mPool;
  Backoff mBackoff;
  Duration mRetryPause{};
  StoreCallCounts mCalls;
};

} // namespace pollenway
