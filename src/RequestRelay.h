#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"
#include "PlatformAdapter.h"
#include "Random.h"
#include "RelayPeers.h"
#include "TargetExchange.h"
#include "Time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

struct ForwardedRequest;
struct RegisteredTarget;

/// Sends callers' requests through other instances while this one can't reach
/// the targets itself. A request takes one such hop at most.
class RequestRelay
{
public:
  struct Sources
  {
    /// Returns true if the next attempt may be sent directly to a target.
    std::function<bool()> mUsesDirectPath = [] { return true; };
    /// Returns the instances that reach the targets, the nearest first.
    std::function<std::vector<RelayCandidate>()> mCandidates = [] {
      return std::vector<RelayCandidate>();
    };
  };

  struct Options
  {
    /// Port at which all instances accept relayed requests; 0 for none.
    uint16_t mPort = 0;
    /// Number of file descriptors that the process may use for sockets.
    unsigned mMaxSockets = 1024;
    uint64_t mSeed = 0;
  };

  /// Counts an attempt as in flight at its instance during its own lifetime.
  class Attempt
  {
  public:
    Attempt(RequestRelay& aRelay, IpEndpoint aPeer);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    const IpEndpoint& Peer() const { return mPeer; }
    /// Returns an exchange with the instance.
    TargetExchange MakeExchange(const PlatformAdapter& aPlatform);

  private:
    RequestRelay& mRelay;
    IpEndpoint mPeer;
  };

  RequestRelay(asio::any_io_executor aExecutor,
               Options aOptions,
               Sources aSources);

  /// Returns true if the next attempt must go through another instance.
  bool IsNeeded() const { return !mSources.mUsesDirectPath(); }
  /// Returns the instance for the next attempt: one of the nearest that were
  /// not tried, and of two of these the one with fewer requests in flight from
  /// here. Its region is one in which the request may run. Empty if none is
  /// left.
  std::optional<IpEndpoint> Choose(const ForwardedRequest& aRequest,
                                   TimePoint aNow);
  /// Returns the request for the other instance, with `aAttemptsLeft` attempts
  /// at targets and the time left until the request's deadline.
  static std::shared_ptr<const SharedRequest> MakeRequest(
    const ForwardedRequest& aRequest,
    const PlatformAdapter& aPlatform,
    unsigned aAttemptsLeft);
  /// Replaces a refusal by the other instance with the failure that it means
  /// for the request. Returns the number of attempts at targets.
  static unsigned ReadRefusal(TargetAnswer& aAnswer);
  /// Names in an answer for another instance the target that leaves, by the
  /// start time of its incarnation.
  static void WriteLeaving(ResponseHeader& aHeader,
                           const TargetName& aTarget,
                           int64_t aStartedAtMs);
  /// Returns the target that leaves according to the other instance's answer,
  /// with name and start time only.
  static std::optional<RegisteredTarget> ReadLeaving(
    const ResponseHeader& aHeader);
  /// Called when an attempt has ended. An instance that did not serve it is
  /// used less for a short time.
  void OnResult(const IpEndpoint& aPeer,
                const TargetAnswer& aAnswer,
                TimePoint aNow);

  void DropIdleConnections() { mPool.CloseExpired(); }
  /// Closes the connection that has been idle for longest. Returns false if
  /// there is none.
  bool CloseOldestIdle() { return mPool.CloseOldestIdle(); }
  size_t IdleConnections() const { return mPool.IdleConnections(); }
  /// Number of attempts through other instances by result.
  const std::map<std::string, uint64_t>& Results() const { return mResults; }

private:
  struct PeerState
  {
    unsigned mInFlight = 0;
    TimePoint mAvoidedUntil{};
  };

  bool IsAvoided(const IpEndpoint& aPeer, TimePoint aNow) const;
  unsigned InFlight(const IpEndpoint& aPeer) const;

  Options mOptions;
  Sources mSources;
  HttpClientPool mPool;
  Random mRandom;
  std::map<IpEndpoint, PeerState> mPeers;
  std::map<std::string, uint64_t> mResults;
};

} // namespace pollenway
