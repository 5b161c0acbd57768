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

/// A stand-in for one target: an HTTP server with a number of slots, random
/// service times and injected faults.
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
    /// Number of requests after a start or reset that take `mColdFactor` times
    /// as long.
    unsigned mColdRequests = 0;
    double mColdFactor = 4;
    /// Time after a crash in which connections are refused.
    Duration mRestartDelay = std::chrono::seconds(2);
    /// The health endpoint repeats its last report up to this age.
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
  /// Makes the health endpoint report "draining", or "live" again. Requests
  /// are served in both states; those that arrive while draining are counted.
  void SetDraining(bool aDraining);
  void SetSlots(unsigned aSlots) { mOptions.mSlots = aSlots; }
  /// Makes the target cold again, so that its next requests are slow.
  void Reset();
  /// Closes all connections and refuses new ones for `mRestartDelay`; the
  /// target then starts cold.
  void Crash();
  /// Stops answering on every open connection that has carried a request, until
  /// the peer closes it. New connections are not affected.
  void SilenceConnections();

  nlohmann::json Stats() const;

private:
  struct Exchange;

  Awaitable<void> Handle(HttpConnection& aConnection);
  Awaitable<void> Run(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> Answer(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> StreamBytes(HttpConnection& aConnection, Exchange& aExchange);
  Awaitable<void> AnswerHealth(HttpConnection& aConnection);
  /// Returns when the peer has closed a silent connection.
  Awaitable<void> AwaitDisconnect(HttpConnection& aConnection);
  Awaitable<void> Restart();
  /// Waits for `aTime`. Returns early if the target crashes or stops, or
  /// `aTimer` is cancelled.
  Awaitable<void> Wait(asio::steady_timer& aTimer, Duration aTime);
  void ReleaseSlot();
  bool IsSilent(HttpConnection& aConnection) const;
  void RecordConnection(HttpConnection& aConnection);

  using Connections =
    std::map<const HttpConnection*, std::weak_ptr<HttpConnection>>;

  struct HealthReport
  {
    TimePoint mReportedAt;
    bool mDraining{};
    unsigned mInUse{};
  };

  asio::any_io_executor mExecutor;
  Options mOptions;
  ExecutionLog& mLog;
  Random mRandom;
  TargetFaults mFaults;
  /// Only the last server accepts connections. Servers from before a crash are
  /// kept until the process ends, because coroutines may still refer to them.
  std::vector<std::unique_ptr<HttpServer>> mServers;
  HttpServer* mServer = nullptr;
  /// Increases with each crash and stop. Work that began in an earlier epoch
  /// ends without effect.
  uint64_t mEpoch = 0;
  std::set<asio::steady_timer*> mTimers;
  Connections mUsedConnections;
  Connections mSilentConnections;
  bool mStopping = false;
  bool mDown = false;
  bool mDraining = false;
  TimePoint mDrainingSince;
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
  /// Requests that arrived while the target was draining.
  uint64_t mAfterDrain = 0;
  /// Milliseconds from the start of the drain to each later arrival.
  std::vector<uint64_t> mAfterDrainMs;
};

} // namespace pollenway
