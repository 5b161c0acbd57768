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

/// HTTP interface of the platform stand-in: objects, watches, the instance
/// list and fault injection.
class PlatformServer
{
public:
  struct Options
  {
    uint64_t mSeed = 1;
    /// Age of the instance list that readers see.
    Duration mInstanceListLag = std::chrono::seconds(2);
    size_t mHistory = 20'000;
  };

  struct Faults
  {
    /// Closes connections without an answer; nothing takes effect.
    bool mOutage = false;
    /// Delay before each call takes effect.
    Duration mLatency{};
    /// Probability that a write takes effect and its answer is lost.
    double mLoseAnswers = 0;
    /// Age of the state that Get and List see; watches are not affected.
    Duration mStaleReads{};
  };

  PlatformServer(asio::any_io_executor aExecutor, Options aOptions);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort)
  {
    return mServer.Listen(aAddress, aPort);
  }
  uint16_t Port() const { return mServer.Port(); }
  /// Closes all connections and ends waiting watches.
  void Stop();

  ObjectTable& Table() { return mTable; }
  void SetFaults(const Faults& aFaults);
  /// Calls of this kind so far: "get", "list", "put", "delete", "watch",
  /// "instances", "instance_update".
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

  /// Sends the answer to a write that took effect, unless it is to be lost.
  Awaitable<void> AnswerWrite(HttpConnection& aConnection,
                              TextResponse aAnswer);
  /// The table that Get and List read: delayed if reads are stale.
  const ObjectTable& ReadTable();
  void NoteWrite();
  void WakeWatches();
  nlohmann::json Stats() const;

  asio::any_io_executor mExecutor;
  Options mOptions;
  Faults mFaults;
  Random mRandom;
  ObjectTable mTable;
  ObjectTable mStaleTable;
  struct WriteTime
  {
    TimePoint mTime;
    uint64_t mRevision;
  };
  std::deque<WriteTime> mWriteTimes;
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
