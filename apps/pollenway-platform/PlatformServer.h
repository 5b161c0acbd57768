#pragma once

#include "HttpServer.h"
#include "InstanceList.h"
#include "ObjectTable.h"
#include "Random.h"
#include "RequestTarget.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <set>

namespace pollenway {

/// HTTP interface of the platform stand-in: objects, watches, the instance list
/// and fault injection.
class PlatformServer
{
public:
  struct Options
  {
    uint64_t mSeed = 1;
    /// Age of the instance list that readers get.
    Duration mInstanceListLag = std::chrono::seconds(2);
    size_t mHistory = 20'000;
  };

  struct Faults
  {
    /// Connections are closed without an answer and requests have no effect.
    bool mOutage = false;
    /// Delay before each call is processed.
    Duration mLatency{};
    /// Probability that a write takes effect but its answer is not sent.
    double mLoseAnswers = 0;
    /// Age of the state that reads and lists return; watches are not affected.
    Duration mStaleReads{};
  };

  PlatformServer(asio::any_io_executor aExecutor, Options aOptions);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort)
  {
    return mServer.Listen(aAddress, aPort);
  }
  uint16_t Port() const { return mServer.Port(); }
  /// Closes all connections and ends open watches.
  void Stop();

  ObjectTable& Table() { return mTable; }
  void SetFaults(const Faults& aFaults);
  /// Returns the number of calls so far of this kind: "get", "list", "put",
  /// "delete", "watch", "instances" or "instance_update".
  uint64_t Calls(const std::string& aCall) const;

private:
  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> HandleAdmin(HttpConnection& aConnection,
                              const RequestTarget& aTarget);
  Awaitable<void> HandleObject(HttpConnection& aConnection,
                               const RequestTarget& aTarget);
  Awaitable<void> HandleList(HttpConnection& aConnection,
                             const RequestTarget& aTarget);
  Awaitable<void> HandleWatch(HttpConnection& aConnection,
                              const RequestTarget& aTarget);
  Awaitable<void> HandleInstances(HttpConnection& aConnection,
                                  const RequestTarget& aTarget);
  Awaitable<void> Sleep(Duration aTime);

  /// Sends the answer to a write, unless the injected fault discards it.
  Awaitable<void> AnswerWrite(HttpConnection& aConnection,
                              TextResponse aAnswer);
  /// Returns the table for reads and lists: the delayed copy while the stale
  /// reads fault is on.
  const ObjectTable& ReadTable();
  void OnWrite();
  void WakeWatches();
  nlohmann::json Stats() const;

  asio::any_io_executor mExecutor;
  Options mOptions;
  Faults mFaults;
  Random mRandom;
  ObjectTable mTable;
  ObjectTable mStaleTable;
  struct WriteRecord
  {
    TimePoint mWrittenAt;
    uint64_t mRevision;
  };
  std::deque<WriteRecord> mWriteTimes;
  InstanceList mInstances;
  std::map<std::string, uint64_t> mCalls;
  std::map<std::string, uint64_t> mCallsByObjectKind;
  uint64_t mRefusedByOutage = 0;
  uint64_t mLostAnswers = 0;
  std::set<asio::steady_timer*> mWatches;
  bool mStopping = false;
  HttpServer mServer;
};

} // namespace pollenway
