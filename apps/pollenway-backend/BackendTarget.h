#pragma once

#include "ExecutionLog.h"
#include "HttpServer.h"
#include "Random.h"
#include "ServiceTime.h"
#include "TargetFaults.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pollenway {

/// One stand-in target: an HTTP server with slots, service times and faults.
class BackendTarget
{
public:
  struct Options
  {
    std::string mName;
    std::string mService;
    std::string mAddress;
    uint16_t mPort = 0;
    unsigned mSlots = 1;
    unsigned mConnections = 650;
    ServiceTime mServiceTime;
    /// Requests after a start or reset that take `mColdFactor` times as long.
    unsigned mColdRequests = 0;
    double mColdFactor = 4;
    /// How long connections are refused after a crash.
    Duration mRestart = std::chrono::seconds(2);
    /// Age up to which the health endpoint repeats its last report.
    Duration mHealthLag{};
    uint64_t mSeed = 1;
  };

  BackendTarget(asio::any_io_executor aExecutor,
                Options aOptions,
                ExecutionLog& aLog);

  Result<void> Start();
  void Stop();

  const std::string& Name() const { return mOptions.mName; }
  uint16_t Port() const { return mServer->Port(); }
  const TargetFaults& Faults() const { return mFaults; }
  void SetFaults(const TargetFaults& aFaults) { mFaults = aFaults; }
  /// Reports "draining" from now on, or "live" again. Requests are served
  /// either way; those that arrive while draining are counted.
  void SetDraining(bool aDraining);
  void SetSlots(unsigned aSlots) { mOptions.mSlots = aSlots; }
  /// Makes the next requests slow again.
  void Reset();
  /// Closes all connections, refuses new ones for a while, starts cold.
  void Crash();
  /// Connections that carried a request so far stop answering for good.
  void Silence();

  nlohmann::json Stats() const;

private:
  struct Exchange;

  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> Run(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> Answer(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> StreamBytes(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> AnswerHealth(HttpConnection& aConnection);
  /// Ignores a silent connection until the peer closes it.
  Awaitable<void> HoldSilent(HttpConnection& aConnection);
  Awaitable<void> Restart();
  /// Returns early if the target crashes or stops, or `aTimer` is cancelled.
  Awaitable<void> Wait(asio::steady_timer& aTimer, Duration aTime);
  void EndWork();
  bool IsSilent(HttpConnection& aConnection) const;
  void NoteConnection(HttpConnection& aConnection);

  using Connections =
    std::map<const HttpConnection*, std::weak_ptr<HttpConnection>>;

  struct HealthReport
  {
    TimePoint mTime;
    bool mDraining{};
    unsigned mInUse{};
  };

  asio::any_io_executor mExecutor;
  Options mOptions;
  ExecutionLog& mLog;
  Random mRandom;
  TargetFaults mFaults;
  /// The last one accepts. Crashed ones stay until the process ends, because
  /// coroutines may still refer to them.
  std::vector<std::unique_ptr<HttpServer>> mServers;
  HttpServer* mServer = nullptr;
  /// Counts starts: work begun before a crash ends without effect.
  uint64_t mEpoch = 0;
  std::set<asio::steady_timer*> mTimers;
  Connections mSeen;
  Connections mSilent;
  bool mStopping = false;
  bool mDown = false;
  bool mDraining = false;
  TimePoint mDrainSince;
  std::optional<HealthReport> mHealth;
  unsigned mColdLeft = 0;
  unsigned mSlotsInUse = 0;
  std::string mLastRequestId;
  std::string mLastEcho;

  unsigned mPeakSlots = 0;
  size_t mPeakConnections = 0;
  uint64_t mRequests = 0;
  uint64_t mExecuted = 0;
  uint64_t mShed = 0;
  uint64_t mCancelled = 0;
  uint64_t mDeadlineExceeded = 0;
  uint64_t mBrokenUploads = 0;
  uint64_t mWithAuthorization = 0;
  uint64_t mCrashes = 0;
  uint64_t mRefusedConnections = 0;
  uint64_t mCrossed = 0;
  uint64_t mCut = 0;
  uint64_t mAfterDrain = 0;
  /// Milliseconds between the drain notice and each later arrival.
  std::vector<uint64_t> mAfterDrainMs;
};

} // namespace pollenway
