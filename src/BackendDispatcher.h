#pragma once

#include "CrashQuarantine.h"
#include "ExchangeForwarder.h"
#include "FairQueue.h"
#include "FleetState.h"
#include "PeerTransport.h"
#include "SlotTable.h"

#include <map>
#include <memory>

namespace pollenway {

/// Dispatches requests to the targets whose slots this instance owns. A request
/// acquires a slot, or waits for one in the target's fair queue, and is then
/// forwarded.
class BackendDispatcher
{
public:
  BackendDispatcher(asio::any_io_executor aExecutor,
                    FleetState& aFleet,
                    PeerTransport& aTransport,
                    ForwarderOptions aOptions);

  /// Makes one attempt at a target. Refuses the request without running it if
  /// this instance is not the target's slot owner, the target accepts no work,
  /// the queue is full, the request is quarantined or its deadline passes in
  /// the queue. `aTimeout` limits the time until the answer's header is
  /// received.
  Awaitable<AttemptResult> Dispatch(RequestContext& aRequest,
                                    const Target& aTarget,
                                    Duration aTimeout = Duration::max());

  SlotTable& Slots() { return mSlots; }
  /// Dispatches queued requests of the target while slots are free.
  void ServeQueue(const TargetName& aTarget);
  /// Refuses all queued requests of a target that was removed or is no longer
  /// owned.
  void ClearQueue(const TargetName& aTarget, ResultCode aCode);
  size_t Queued(const TargetName& aTarget) const;
  const ExchangeForwarder& Forwarder() const { return mForwarder; }
  /// Fingerprints of requests that may crash the backend servers.
  CrashQuarantine& Quarantine() { return mQuarantine; }

private:
  struct Waiter;
  using Queue = FairQueue<std::shared_ptr<Waiter>>;

  Awaitable<ResultCode> WaitForSlot(RequestContext& aRequest,
                                    const Target& aTarget,
                                    SlotTicket& aTicket);

  /// Returns `Ok`, or `Quarantined` if the request must not start at the target
  /// now. Sets `aIsSuspect` if the request starts as a suspect.
  ResultCode CheckQuarantine(const RequestContext& aRequest,
                             const TargetName& aTarget,
                             bool& aIsSuspect);
  /// Updates the quarantine after an attempt. If the connection was lost and
  /// the target does not accept a new one, reports a crash to all peers.
  Awaitable<void> OnAttemptEnded(RequestFingerprint aRequest,
                                 TargetName aTarget,
                                 tcp::endpoint aEndpoint,
                                 std::optional<AttemptFailure> aFailure,
                                 bool aIsSuspect);
  /// Returns true if a connection to the target can't be established.
  Awaitable<bool> IsTargetDown(tcp::endpoint aEndpoint);
  void NotifyAllPeers(const PeerBody& aBody);

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  PeerTransport& mTransport;
  HttpClientPool mPool;
  ExchangeForwarder mForwarder;
  SlotTable mSlots;
  std::map<TargetName, Queue> mQueues;
  CrashQuarantine mQuarantine;
  /// Requests in flight at each target. A request whose connection was lost
  /// stays listed until the check for a crash has ended.
  std::map<TargetName, std::vector<RequestFingerprint>> mInFlight;
  std::map<TargetName, TimePoint> mLastCrashAt;
  uint64_t mCrashes = 0;
};

} // namespace pollenway
